#include "http/listener.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <restinio/impl/connection.hpp>
#include <restinio/message_builders.hpp>

#include <charconv>
#include <stdexcept>
#include <utility>

namespace bulrush::standins {

namespace {

/** Longer than any test waits, so that RESTinio never closes a connection that stays unanswered. */
constexpr std::chrono::minutes transferTimeLimit{10};

/** One more than the request in progress, so that RESTinio detects when the caller closes. */
constexpr std::size_t maxPipelinedRequests = 2;

constexpr std::size_t readBufferSize = std::size_t{64} * 1024;

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 503:
        return "Service Unavailable";
    default:
        return "Unknown";
    }
}

/** \returns the status line and header of \a answer, with \a firstFields before its own fields. */
std::string rawHead(const Answer &answer, const std::vector<HeaderField> &firstFields)
{
    std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " ";
    head += reasonPhrase(answer.status);
    head += "\r\n";
    for (const std::vector<HeaderField> &fields : {firstFields, answer.headers}) {
        for (const HeaderField &field : fields)
            head += field.name + ": " + field.value + "\r\n";
    }
    return head + "\r\n";
}

std::string rawHeadWithLength(const Answer &answer)
{
    return rawHead(answer, {{"Content-Length", std::to_string(answer.body.size())}});
}

void writeAll(asio::ip::tcp::socket &socket, const std::string &bytes)
{
    asio::error_code ignored;
    socket.non_blocking(false, ignored);
    asio::write(socket, asio::buffer(bytes), ignored);
}

std::uint16_t parsedPort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (error != std::errc{} || end != text.data() + text.size())
        throw std::invalid_argument("not a port: " + std::string{text});

    return port;
}

} // namespace

ListenerSettings parsedEndpoint(std::string_view text)
{
    ListenerSettings settings;
    if (text.empty())
        return settings;

    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        throw std::invalid_argument("not IP:PORT: " + std::string{text});

    settings.ip = std::string{text.substr(0, colon)};
    settings.port = parsedPort(text.substr(colon + 1));
    return settings;
}

Listener::Listener(asio::io_context &loop, const ListenerSettings &settings, RequestHandler handler,
                   ConnectionLimiter::ClosedHandler connectionClosedHandler)
    : m_loop(loop)
    , m_connectionLimiter(std::make_shared<ConnectionLimiter>(settings.connectionLimit,
                                                              std::move(connectionClosedHandler)))
    , m_server(std::make_unique<Server>(restinio::external_io_context(loop),
                                        serverSettings(settings, std::move(handler))))
{
    m_server->open_sync();
}

restinio::server_settings_t<Listener::Traits>
Listener::serverSettings(const ListenerSettings &settings, RequestHandler handler)
{
    restinio::server_settings_t<Traits> result;
    result.address(settings.ip)
        .port(settings.port)
        .ip_blocker(m_connectionLimiter)
        .connection_state_listener(m_connectionLimiter)
        .max_pipelined_requests(maxPipelinedRequests)
        .buffer_size(readBufferSize)
        .read_next_http_message_timelimit(transferTimeLimit)
        .write_http_response_timelimit(transferTimeLimit)
        .handle_request_timeout(transferTimeLimit)
        .incoming_http_msg_limits(
            restinio::incoming_http_msg_limits_t{}.max_body_size(settings.bodyLimit))
        .socket_options_setter(
            [](auto &options) { options.set_option(asio::ip::tcp::no_delay{true}); })
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &acceptor) {
            const auto endpoint = acceptor.local_endpoint();
            m_address = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
        })
        .request_handler([handler = std::move(handler)](RequestHandle request) {
            handler(std::move(request));
            return restinio::request_accepted();
        });
    return result;
}

void Listener::send(const RequestHandle &request, const Answer &answer)
{
    auto response = request->create_response(restinio::http_status_line_t{
        restinio::http_status_code_t{static_cast<std::uint16_t>(answer.status)},
        std::string{reasonPhrase(answer.status)}});
    for (const HeaderField &field : answer.headers)
        response.append_header(field.name, field.value);
    response.set_body(answer.body);
    response.done();
}

void Listener::closeWithoutAnswer(const RequestHandle &request)
{
    detachSocket(request, [](asio::ip::tcp::socket &) {});
}

void Listener::resetConnection(const RequestHandle &request)
{
    detachSocket(request, [](asio::ip::tcp::socket &socket) {
        asio::error_code ignored;
        socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    });
}

void Listener::sendTruncated(const RequestHandle &request, const Answer &answer)
{
    detachSocket(request, [answer](asio::ip::tcp::socket &socket) {
        writeAll(socket, rawHeadWithLength(answer) + answer.body.substr(0, answer.body.size() / 2));
    });
}

void Listener::sendWithoutLength(const RequestHandle &request, const Answer &answer)
{
    detachSocket(request, [answer](asio::ip::tcp::socket &socket) {
        writeAll(socket, rawHead(answer, {{"Connection", "close"}}) + answer.body);
    });
}

void Listener::sendDuplicate(const RequestHandle &request, const Answer &answer,
                             std::chrono::milliseconds delay)
{
    using Builder = restinio::response_builder_t<restinio::user_controlled_output_t>;
    auto response = std::make_shared<Builder>(
        request->create_response<restinio::user_controlled_output_t>(restinio::http_status_line_t{
            restinio::http_status_code_t{static_cast<std::uint16_t>(answer.status)},
            std::string{reasonPhrase(answer.status)}}));
    for (const HeaderField &field : answer.headers)
        response->append_header(field.name, field.value);
    response->set_content_length(answer.body.size());
    response->append_body(answer.body);
    response->flush();
    auto timer = std::make_shared<asio::steady_timer>(m_loop, delay);
    timer->async_wait([timer, response, duplicate = rawHeadWithLength(answer) + answer.body](
                          const asio::error_code &) {
        response->append_body(duplicate);
        response->done();
    });
}

/**
 * Takes the socket of the connection of \a request away from RESTinio, passes it to \a action and
 * closes it. Happens later on the loop; does nothing if the connection is already closed.
 */
void Listener::detachSocket(const RequestHandle &request,
                            std::function<void(asio::ip::tcp::socket &)> action)
{
    // Posted, because RESTinio still uses the connection after its call of the request handler.
    asio::post(m_loop, [this, request, action = std::move(action)] {
        const auto connection = std::move(restinio::impl::access_req_connection(*request));
        if (!connection)
            return;

        auto &concrete = dynamic_cast<restinio::impl::connection_t<Traits> &>(*connection);
        auto internals = concrete.move_upgrade_internals();
        action(internals.m_socket);

        asio::error_code ignored;
        internals.m_socket.close(ignored);
        m_connectionLimiter->handleClosed(request->connection_id());
    });
}

} // namespace bulrush::standins
