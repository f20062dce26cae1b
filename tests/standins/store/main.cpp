#include "http/listener.h"
#include "http/program.h"
#include "store/storeserver.h"

#include <CLI/CLI.hpp>
#include <asio/io_context.hpp>

#include <exception>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

using namespace bulrush::standins;

namespace {

void openListener(StoreServer &server, const std::string &text)
{
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos)
        throw std::invalid_argument("--listen: not NAME=IP:PORT: " + text);
    const std::string name = text.substr(0, equals);
    const std::string address = server.listen(name, parsedEndpoint(text.substr(equals + 1)));
    std::cout << "listening " << name << ' ' << address << std::endl;
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::string> listeners;
    CLI::App app{"Stands in for the platform's metadata store."};
    app.add_option("--listen", listeners, "NAME=IP:PORT; port 0 lets the system choose")
        ->required();
    CLI11_PARSE(app, argc, argv);
    terminateWithParent();
    try {
        asio::io_context loop{1};
        StoreServer server{loop};
        for (const std::string &listener : listeners)
            openListener(server, listener);
        runUntilSignal(loop);
    } catch (const std::exception &error) {
        std::cerr << "store-standin: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
