#pragma once

#include "HttpMessages.h"
#include <libwebsockets.h>
#include <memory>

namespace Hornbeam {

/// Makes libwebsockets close a connection in the next loop iteration. libwebsockets arms its timers only while it
/// services an event, so this also raises an event.
void
CloseConnectionAsync(lws* aConnection);

class HttpServer;
class HttpClient;

/// The libwebsockets context of the process, shared by all servers and the client.
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
