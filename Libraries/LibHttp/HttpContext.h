#pragma once

#include "HttpMessages.h"
#include <libwebsockets.h>
#include <memory>

namespace Hornbeam {

/// Makes libwebsockets close a connection at its next turn. It arms its timers only while it serves an event, so an
/// event is raised too.
void
CloseConnectionSoon(lws* aConnection);

class HttpServer;
class HttpClient;

/// The libwebsockets context of the process. Servers and the client share it.
class HttpContext
{
public:
  explicit HttpContext(EventLoop& aLoop);
  HttpContext(HttpContext const&) = delete;
  HttpContext& operator=(HttpContext const&) = delete;
  ~HttpContext();

  lws_context* Handle() { return this->context; }
  lws_vhost* ClientHost() { return this->clientHost; }
  EventLoop& Loop() { return this->loop; }

private:
  EventLoop& loop;
  void* foreignLoops[1];
  lws_context* context{ nullptr };
  lws_vhost* clientHost{ nullptr };
};

}
