#pragma once

#include "HttpContext.h"

namespace Hornbeam {

struct HttpExchange;

/// Refers to an outgoing request. Abandoning the request closes its connection, and onEnd is not called afterwards.
class HttpCallHandle
{
public:
  HttpCallHandle() = default;
  explicit HttpCallHandle(std::weak_ptr<HttpExchange> aExchange);
  void Abandon() const;

private:
  std::weak_ptr<HttpExchange> exchange;
};

/// The HTTP client of the process. Each call uses a separate connection, so that an abandoned or late response can
/// never be attributed to another call.
class HttpClient
{
public:
  explicit HttpClient(HttpContext& aContext);

  HttpCallHandle Send(HttpCall aCall, HttpCallEvents aEvents);

  static int HandleEvent(lws* aConnection, lws_callback_reasons aReason, void* aUser, void* aInput, size_t aLength);

private:
  HttpContext& context;
};

}
