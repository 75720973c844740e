#pragma once

#include <LibCore/LibCore.h>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Hornbeam {

enum class HttpMethod
{
  Get,
  Post,
  Put,
  Delete,
};

/// The request headers that the HTTP interfaces use.
struct HttpRequestHeaders
{
  std::string accept;
  std::string authorization;
  std::string ifMatch;
};

/// A complete request as received by a server.
struct HttpRequest
{
  HttpMethod method{ HttpMethod::Get };
  std::string path;
  std::map<std::string, std::string> query;
  HttpRequestHeaders headers;
  std::string body;
};

/// A complete response. The entity tag, unless empty, is sent as the ETag header.
struct HttpResponse
{
  int status{ 200 };
  std::string contentType{ "application/json" };
  std::string body;
  std::string entityTag;
};

/// An outgoing request to a numeric address such as "127.0.0.1:8080".
struct HttpCall
{
  std::string address;
  HttpMethod method{ HttpMethod::Get };
  std::string path;
  std::string body;
  std::string contentType{ "application/json" };
  std::string authorization;
  std::string ifMatch;
  Duration timeout{ 5s };
};

/// How an outgoing request ended.
enum class HttpCallEnd
{
  Complete,
  /// No byte of the request was sent.
  NotSent,
  /// The request may have reached the server, but the response is missing or truncated.
  Broken,
  TimedOut,
};

struct HttpCallResult
{
  HttpCallEnd end{ HttpCallEnd::NotSent };
  int status{ 0 };
  std::string body;
  std::string entityTag;
  std::string detail;
};

/// The callbacks of an outgoing request. mayStillSend is optional and runs immediately before the first byte is sent;
/// if it returns false, nothing is sent. onData is optional: if set, it receives the body in chunks, and the body of
/// the result stays empty.
struct HttpCallEvents
{
  std::function<bool()> mayStillSend;
  std::function<void(std::string_view)> onData;
  std::function<void(HttpCallResult)> onEnd;
};

}
