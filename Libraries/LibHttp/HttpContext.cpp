#include "HttpContext.h"
#include "HttpClient.h"
#include <cstring>

namespace Hornbeam {

/// Upper bound on the bytes of one read from a connection.
static constexpr unsigned kReadBufferSize = 32 * 1024;

static lws_protocols const kClientProtocols[] = {
  { "http-client", HttpClient::HandleEvent, 0, kReadBufferSize, 0, nullptr, 0 },
  { nullptr, nullptr, 0, 0, 0, nullptr, 0 },
};

void
CloseConnectionAsync(lws* aConnection)
{
  lws_set_timeout(aConnection, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
  lws_cancel_service(lws_get_context(aConnection));
}

static void
LogLibwebsocketsLine(int, char const* aLine)
{
  PART_WARNING("http") << std::string_view(aLine).substr(0, std::strcspn(aLine, "\n"));
}

HttpContext::HttpContext(EventLoop& aLoop)
  : loop(aLoop)
  , foreignLoops{ &aLoop.UvLoop() }
{
  lws_set_log_level(LLL_ERR, LogLibwebsocketsLine);
  // Proxy settings from the environment must be ignored: all addresses come from the settings and the table.
  unsetenv("http_proxy");
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.options = LWS_SERVER_OPTION_LIBUV | LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  info.foreign_loops = this->foreignLoops;
  info.pt_serv_buf_size = kReadBufferSize;
  this->context = lws_create_context(&info);
  VERIFY(this->context != nullptr);

  lws_context_creation_info host{};
  host.port = CONTEXT_PORT_NO_LISTEN;
  host.protocols = kClientProtocols;
  host.vhost_name = "client";
  this->clientHost = lws_create_vhost(this->context, &host);
  VERIFY(this->clientHost != nullptr);
}

HttpContext::~HttpContext()
{
  lws_context_destroy(this->context);
}

}
