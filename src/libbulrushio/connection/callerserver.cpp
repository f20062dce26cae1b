#include "connection/callerserver.h"

#include "connection/callersocket.h"
#include "connection/httpfield.h"
#include "connection/httpstatus.h"
#include "connection/transporterror.h"
#include "connection/uploadlink.h"

#include <restinio/all.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace bulrush::io {

// RESTinio finds these two functions by overload resolution on the socket type, under these names.
// NOLINTBEGIN(readability-identifier-naming)

template<typename Connection, typename StartRead, typename Failed>
void prepare_connection_and_start_read(CallerSocket &socket, Connection &, StartRead startRead,
                                       Failed)
{
    const CallerConnection::Scope scope{socket.connection().get()};
    startRead();
}

inline restinio::tls_socket_t *make_tls_socket_pointer_for_state_listener(CallerSocket &) noexcept
{
    return nullptr;
}
// NOLINTEND(readability-identifier-naming)

namespace {

constexpr int badRequest = 400;
constexpr int lengthRequired = 411;
constexpr int contentTooLarge = 413;
constexpr int uriTooLong = 414;
constexpr int expectationFailed = 417;
constexpr int headerTooLarge = 431;
constexpr int notImplemented = 501;
constexpr int serviceUnavailable = 503;
constexpr int versionNotSupported = 505;

/**
 * Maximum number of requests of a connection in progress, so that none stays unread behind a slow
 * one. With two or more, a caller's close is also detected while its request is being handled.
 */
constexpr std::size_t maxPipelinedRequests = 16;
constexpr std::size_t readBufferSize = std::size_t{8} * 1024;
constexpr std::size_t concurrentAccepts = 4;
/**
 * One in this many of the connections is spare, so that new ones are accepted while those that make
 * place for them close.
 */
constexpr std::size_t spareConnectionDivisor = 16;
constexpr std::chrono::milliseconds maxTimerPeriod{500};
constexpr std::chrono::milliseconds minTimerPeriod{5};

/** RESTinio's default methods; as a distinct type, it selects the parser settings defined below. */
class CallerMethods : public restinio::default_http_methods_t
{ };

using ParserContext = restinio::impl::http_parser_ctx_t;

ParserContext &parserContext(const http_parser *parser)
{
    return *static_cast<ParserContext *>(parser->data);
}

/** Aborts parsing; the caller receives \a status when the connection is closed. */
int refuse(int status)
{
    if (CallerConnection *connection = CallerConnection::current())
        connection->refuse(status);
    return -1;
}

int checkHead(const http_parser *parser, const ParserContext &context)
{
    if (parser->http_major != 1 || parser->http_minor != 1)
        return versionNotSupported;
    if (parser->method == HTTP_CONNECT)
        return notImplemented;
    int hosts = 0;
    context.m_header.for_each_field([&hosts](const auto &field) {
        hosts += field.field_id() == restinio::http_field::host ? 1 : 0;
    });
    if (hosts != 1)
        return badRequest;
    const bool hasLength = parser->content_length != ULLONG_MAX;
    if (hasLength && parser->content_length > context.m_limits.max_body_size())
        return contentTooLarge;
    const auto expected = context.m_header.opt_value_of(restinio::http_field::expect);
    if (expected && !isSameFieldName({expected->data(), expected->size()}, "100-continue"))
        return expectationFailed;
    return 0;
}

bool isChunked(const http_parser *parser)
{
    return (parser->flags & F_CHUNKED) != 0;
}

int onUrl(http_parser *parser, const char *at, std::size_t length)
{
    const int result = restinio::impl::restinio_url_cb(parser, at, length);
    return result == 0 ? 0 : refuse(uriTooLong);
}

int onHeaderField(http_parser *parser, const char *at, std::size_t length)
{
    const int result = restinio::impl::restinio_header_field_cb(parser, at, length);
    return result == 0 ? 0 : refuse(headerTooLarge);
}

int onHeaderValue(http_parser *parser, const char *at, std::size_t length)
{
    const int result = restinio::impl::restinio_header_value_cb(parser, at, length);
    return result == 0 ? 0 : refuse(headerTooLarge);
}

/** \returns the length up to which bodies on the current connection are buffered completely. */
std::uint64_t bufferedBodyLimit()
{
    const CallerConnection *connection = CallerConnection::current();
    return connection ? connection->bufferedBodyLimit() : smallBodyLimit;
}

int onHeadersComplete(http_parser *parser)
{
    ParserContext &context = parserContext(parser);
    // Protocol upgrades are not supported; the flag marks large bodies instead.
    parser->upgrade = 0;
    if (const int status = checkHead(parser, context); status != 0)
        return refuse(status);
    CallerConnection *connection = CallerConnection::current();
    const bool hasBody =
        isChunked(parser) || (parser->content_length != ULLONG_MAX && parser->content_length > 0);
    if (connection && hasBody && context.m_header.has_field(restinio::http_field::expect))
        connection->sendContinue();
    // A declared length gets all of its room before its first byte is read, or none, so that bodies
    // that are half received never wait for each other.
    const bool hasLength = parser->content_length != ULLONG_MAX;
    if (connection && hasLength && !connection->reserveBody(parser->content_length))
        return refuse(serviceUnavailable);
    const bool isSmall =
        parser->content_length == ULLONG_MAX || parser->content_length <= bufferedBodyLimit();
    if (isSmall)
        return restinio::impl::restinio_headers_complete_cb(parser);
    // RESTinio's callback is skipped, as it would reserve memory for the complete body.
    context.m_leading_headers_completed = true;
    return 0;
}

int onMessageComplete(http_parser *parser)
{
    if (CallerConnection *connection = CallerConnection::current())
        connection->recordRequest();
    return restinio::impl::restinio_message_complete_cb<CallerMethods>(parser);
}

/**
 * Passes a request with a large body to the request handler with the first bytes of its body. It
 * uses RESTinio's mechanism for upgrades, which hands over the socket.
 */
int startUpload(http_parser *parser, std::uint64_t length, std::string_view firstBytes)
{
    CallerConnection *connection = CallerConnection::current();
    if (!connection)
        return -1;
    connection->recordUpload(length);
    parserContext(parser).m_body.assign(firstBytes);
    parser->upgrade = 1;
    return restinio::impl::restinio_message_complete_cb<CallerMethods>(parser);
}

/** Buffers bytes of a body without a declared length, which grows in steps. */
int bufferChunk(http_parser *parser, std::string_view bytes)
{
    std::string &body = parserContext(parser).m_body;
    const std::size_t length = body.size() + bytes.size();
    if (length > bufferedBodyLimit())
        return refuse(lengthRequired);
    if (length > body.capacity()) {
        const std::size_t room = std::max(length, 2 * body.capacity());
        CallerConnection *connection = CallerConnection::current();
        if (connection && !connection->reserveBody(room))
            return refuse(serviceUnavailable);
        body.reserve(room);
    }
    return restinio::impl::restinio_body_cb(parser, bytes.data(), bytes.size());
}

int onBody(http_parser *parser, const char *at, std::size_t length)
{
    const std::size_t bufferedBytes = parserContext(parser).m_body.size() + length;
    if (isChunked(parser))
        return bufferChunk(parser, {at, length});
    // The parser has already subtracted these bytes from content_length.
    const std::uint64_t bodyLength = parser->content_length + bufferedBytes;
    if (bodyLength > bufferedBodyLimit())
        return startUpload(parser, bodyLength, {at, length});
    return restinio::impl::restinio_body_cb(parser, at, length);
}

} // namespace

} // namespace bulrush::io

template<>
inline http_parser_settings
restinio::impl::create_parser_settings<bulrush::io::CallerMethods>() noexcept
{
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = &bulrush::io::onUrl;
    settings.on_header_field = &bulrush::io::onHeaderField;
    settings.on_header_value = &bulrush::io::onHeaderValue;
    settings.on_headers_complete = &bulrush::io::onHeadersComplete;
    settings.on_body = &bulrush::io::onBody;
    // RESTinio's callbacks for chunks are left out: they would keep a record of each chunk.
    settings.on_message_complete = &bulrush::io::onMessageComplete;
    return settings;
}

namespace bulrush::io {

namespace {

/** Registers each accepted connection. */
class AcceptListener
{
public:
    explicit AcceptListener(std::shared_ptr<CallerRegistry> registry)
        : m_registry(std::move(registry))
    { }

    // NOLINTNEXTLINE(readability-identifier-naming): named by RESTinio
    void state_changed(const restinio::connection_state::notice_t &notice) noexcept
    {
        CallerConnection *connection = CallerConnection::current();
        const auto cause = notice.cause();
        if (connection
            && restinio::holds_alternative<restinio::connection_state::accepted_t>(cause))
            connection->registerWith(m_registry);
    }

private:
    std::shared_ptr<CallerRegistry> m_registry;
};

struct CallerTraits
    : public restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t,
                                restinio::details::autodetect_request_handler_type,
                                restinio::noop_strand_t, CallerSocket>
{
    using http_methods_mapper_t = CallerMethods;
    using connection_state_listener_t = AcceptListener;
    // NOLINTNEXTLINE(readability-identifier-naming): named by RESTinio
    static constexpr bool use_connection_count_limiter = true;
};

using Server = restinio::http_server_t<CallerTraits>;
using RestinioConnection = restinio::impl::connection_t<CallerTraits>;

restinio::response_output_flags_t outputFlags(WritePart part)
{
    return {part == WritePart::More ? restinio::response_parts_attr_t::not_final_parts
                                    : restinio::response_parts_attr_t::final_parts,
            part == WritePart::LastAndClose
                ? restinio::response_connection_attr_t::connection_close
                : restinio::response_connection_attr_t::connection_keepalive};
}

/** The link of a request whose body RESTinio buffered; its answer is written through RESTinio. */
class RestinioLink : public CallerLink
{
public:
    RestinioLink(std::shared_ptr<CallerConnection> connection,
                 restinio::impl::connection_handle_t handle, restinio::request_id_t requestId)
        : m_connection(std::move(connection))
        , m_handle(std::move(handle))
        , m_requestId(requestId)
    { }

    void readBody(BodyHandler handler) override
    {
        asio::post(m_connection->socket().get_executor(),
                   [handler = std::move(handler)] { handler({}, {}); });
    }

    void write(std::string bytes, WritePart part, WrittenHandler handler) override;

    void abort() override
    {
        m_connection->endExchange();
        m_connection->closeNow();
    }

    bool decideClose(bool isCloseRequested) override
    {
        return m_connection->decideClose(m_number, isCloseRequested);
    }

    bool hasCallerClosed() override
    {
        return m_connection->hasCallerClosed();
    }

    Transfer bodyTransfer() override
    {
        return {}; // the body is complete
    }

    Transfer answerTransfer() override
    {
        return m_connection->answerTransfer();
    }

    /** Sets the ordinal of the request on its connection. */
    void setNumber(int number)
    {
        m_number = number;
    }

private:
    void releaseConnection() override
    {
        m_handle.reset();
    }

    std::shared_ptr<CallerConnection> m_connection;
    restinio::impl::connection_handle_t m_handle;
    restinio::request_id_t m_requestId;
    int m_number = 0;
};

void RestinioLink::write(std::string bytes, WritePart part, WrittenHandler handler)
{
    if (!m_handle) {
        if (handler)
            asio::post(m_connection->socket().get_executor(), [handler = std::move(handler)] {
                handler(TransportError::CallerDisconnected);
            });
        return;
    }
    restinio::writable_items_container_t items;
    if (!bytes.empty())
        items.emplace_back(std::move(bytes));
    restinio::write_group_t group{std::move(items)};
    group.after_write_notificator([handler = std::move(handler), part,
                                   connection = m_connection](const asio::error_code &error) {
        if (part != WritePart::More)
            connection->endExchange();
        const std::error_code writeError =
            error ? make_error_code(TransportError::CallerDisconnected) : std::error_code{};
        if (handler)
            asio::post(connection->socket().get_executor(),
                       [handler, writeError] { handler(writeError); });
    });
    m_handle->write_response_parts(m_requestId, outputFlags(part), std::move(group));
}

RequestHead toRequestHead(const restinio::request_t &request)
{
    const restinio::http_request_header_t &header = request.header();
    RequestHead head{header.method().c_str(), header.request_target(), {}};
    header.for_each_field([&head](const restinio::http_header_field_t &field) {
        head.headers.push_back({field.name(), field.value()});
    });
    return head;
}

/** Rejects input that the parser accepts but the next server might interpret differently. */
bool isWellFormed(const RequestHead &head)
{
    const auto isPrintable = [](unsigned char c) {
        return c > ' ' && c < 0x7f;
    };
    return !head.target.empty() && std::ranges::all_of(head.target, isPrintable)
        && std::ranges::all_of(head.headers, isSafeField);
}

bool requestsKeepAlive(const RequestHead &head)
{
    const std::vector<std::string_view> values = fieldValues(head.headers, "Connection");
    return std::ranges::none_of(values, [](auto value) { return listContains(value, "close"); });
}

std::string formatEndpoint(const asio::ip::tcp::endpoint &endpoint)
{
    const std::string address = endpoint.address().to_string();
    const std::string port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? '[' + address + "]:" + port : address + ':' + port;
}

} // namespace

/** The server. Its connections may outlive it, so they refer to the core only. */
class CallerServer::Impl
{
public:
    Impl(asio::io_context &loop, CallerServerSettings settings, RequestHandler handler);

    std::error_code listen();

    CallerServerSettings m_settings;
    std::shared_ptr<CallerRegistry> m_registry = std::make_shared<CallerRegistry>();
    std::uint16_t m_port = 0;

private:
    struct Core
    {
        RequestHandler handler;
        ProgressLimits limits;
    };

    static restinio::request_handling_status_t
    handleRequest(Core &core, const restinio::request_handle_t &request);
    static std::shared_ptr<CallerLink> createRestinioLink(CallerConnection &connection,
                                                          restinio::request_t &request);
    static std::shared_ptr<CallerLink>
    createUploadLink(const Core &core, restinio::request_t &request, std::uint64_t length);
    void configure(restinio::server_settings_t<CallerTraits> &settings);
    void setTimeouts(restinio::server_settings_t<CallerTraits> &settings) const;

    std::shared_ptr<Core> m_core;

public:
    std::shared_ptr<Server> m_server;
};

CallerServer::Impl::Impl(asio::io_context &loop, CallerServerSettings settings,
                         RequestHandler handler)
    : m_settings(std::move(settings))
    , m_core(std::make_shared<Core>(
          Core{std::move(handler), {m_settings.bodyIdleTimeout, m_settings.writeTimeout}}))
    , m_server(std::make_shared<Server>(restinio::external_io_context(loop),
                                        [this](auto &target) { configure(target); }))
{
    m_registry->setServer(m_server);
    m_registry->setBufferedBodyLimit(m_settings.bufferedBodyLimit);
    m_registry->setMemory(m_settings.memory);
    m_registry->setEvictionThreshold(m_settings.connectionLimit
                                     - m_settings.connectionLimit / spareConnectionDivisor);
}

std::error_code CallerServer::Impl::listen()
{
    try {
        m_server->open_sync();
    } catch (const std::exception &) {
        return TransportError::ListenFailed;
    }
    return {};
}

restinio::request_handling_status_t
CallerServer::Impl::handleRequest(Core &core, const restinio::request_handle_t &request)
{
    CallerConnection *connection = CallerConnection::current();
    if (!connection)
        return restinio::request_rejected();
    // Requests after the last one stay unanswered; the connection closes after the last answer.
    if (!connection->acceptsRequests())
        return restinio::request_accepted();
    const std::optional<std::uint64_t> upload = connection->takeUpload();
    MemoryHolder memory = connection->takeBodyMemory();
    RequestHead head = toRequestHead(*request);
    const std::shared_ptr<CallerLink> link = upload ? createUploadLink(core, *request, *upload)
                                                    : createRestinioLink(*connection, *request);
    const bool isUsable = isWellFormed(head);
    const bool isLast = upload || !isUsable || !requestsKeepAlive(head);
    if (isLast)
        connection->stopAcceptingRequests();
    auto writer = std::make_shared<ResponseWriter>(link, head.method == "HEAD", !isLast);
    if (!isUsable) {
        writer->send(refusal(badRequest));
        return restinio::request_accepted();
    }
    core.handler(std::make_shared<IncomingRequest>(
                     std::move(head), upload ? std::string{} : request->body(),
                     upload.value_or(request->body().size()),
                     formatEndpoint(request->remote_endpoint()), link, std::move(memory)),
                 std::move(writer));
    return restinio::request_accepted();
}

std::shared_ptr<CallerLink> CallerServer::Impl::createRestinioLink(CallerConnection &connection,
                                                                   restinio::request_t &request)
{
    auto link = std::make_shared<RestinioLink>(connection.shared_from_this(),
                                               restinio::impl::access_req_connection(request),
                                               request.request_id());
    link->setNumber(connection.beginExchange(link));
    return link;
}

std::shared_ptr<CallerLink> CallerServer::Impl::createUploadLink(const Core &core,
                                                                 restinio::request_t &request,
                                                                 std::uint64_t length)
{
    auto handle = restinio::impl::access_req_connection(request);
    auto internals = static_cast<RestinioConnection &>(*handle).move_upgrade_internals();
    using Monitor = decltype(internals.m_lifetime_monitor);
    auto lifetimeMonitor = std::make_shared<Monitor>(std::move(internals.m_lifetime_monitor));
    const std::shared_ptr<CallerConnection> &connection = internals.m_socket.connection();
    auto link = std::make_shared<UploadLink>(connection, request.body(), length, core.limits,
                                             std::move(lifetimeMonitor));
    connection->beginExchange(link);
    return link;
}

void CallerServer::Impl::configure(restinio::server_settings_t<CallerTraits> &settings)
{
    settings.address(m_settings.address)
        .port(m_settings.port)
        .buffer_size(readBufferSize)
        .max_pipelined_requests(maxPipelinedRequests)
        .concurrent_accepts_count(concurrentAccepts)
        .max_parallel_connections(m_settings.connectionLimit)
        .connection_state_listener(std::make_shared<AcceptListener>(m_registry))
        .request_handler([core = m_core](const restinio::request_handle_t &request) {
            return handleRequest(*core, request);
        })
        .acceptor_options_setter([isShared = m_settings.isPortShared](auto &options) {
            options.set_option(asio::ip::tcp::acceptor::reuse_address{true});
            using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
            if (isShared)
                options.set_option(ReusePort{true});
        })
        .socket_options_setter(
            [](auto &options) { options.set_option(asio::ip::tcp::no_delay{true}); })
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &acceptor) {
            m_port = acceptor.local_endpoint().port();
        })
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                      .max_url_size(m_settings.urlLimit)
                                      .max_field_count(m_settings.headerCountLimit)
                                      .max_field_name_size(m_settings.headerNameLimit)
                                      .max_field_value_size(m_settings.headerValueLimit)
                                      .max_body_size(m_settings.bodyLimit));
    setTimeouts(settings);
}

void CallerServer::Impl::setTimeouts(restinio::server_settings_t<CallerTraits> &settings) const
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    constexpr int checksPerTimeout = 4;
    const auto shortestTimeout = std::min(m_settings.requestReadTimeout, m_settings.writeTimeout);
    const auto period = std::clamp(duration_cast<milliseconds>(shortestTimeout / checksPerTimeout),
                                   minTimerPeriod, maxTimerPeriod);
    settings.read_next_http_message_timelimit(m_settings.requestReadTimeout)
        .write_http_response_timelimit(m_settings.writeTimeout)
        .handle_request_timeout(m_settings.handlingTimeout)
        .timer_manager(period);
}

CallerServer::CallerServer(asio::io_context &loop, CallerServerSettings settings,
                           RequestHandler handler)
    : m_impl(std::make_unique<Impl>(loop, std::move(settings), std::move(handler)))
{ }

CallerServer::~CallerServer()
{
    m_impl->m_server->close_sync();
    m_impl->m_registry->closeNow();
}

std::error_code CallerServer::listen()
{
    return m_impl->listen();
}

std::uint16_t CallerServer::port() const
{
    return m_impl->m_port;
}

void CallerServer::drain()
{
    m_impl->m_registry->drain();
}

void CallerServer::stopListening()
{
    m_impl->m_server->close_sync();
}

void CallerServer::closeIdle()
{
    m_impl->m_registry->closeIdle();
}

std::uint64_t CallerServer::evictionCount() const
{
    return m_impl->m_registry->evictionCount();
}

std::size_t CallerServer::connectionCount() const
{
    return m_impl->m_registry->count();
}

} // namespace bulrush::io
