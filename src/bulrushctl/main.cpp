#include "commandline.h"

#include <curl/curl.h>

#include <iostream>
#include <string>
#include <vector>

int main(int argc, char *argv[])
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const std::vector<std::string> arguments{argv + 1, argv + argc};
    return static_cast<int>(bulrush::ctl::run(arguments, std::cin, std::cout, std::cerr));
}
