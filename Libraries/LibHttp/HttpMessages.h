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

/// The headers that our HTTP interfaces use.
struct HttpRequestHeaders
{
  std::string accept;
  std::string authorization;
  std::string ifMatch;
};

/// A whole request as a server received it.
struct HttpRequest
{
  HttpMethod method{ HttpMethod::Get };
  std::string path;
  std::map<std::string, std::string> query;
  HttpRequestHeaders headers;
  std::string body;
};

/// A whole response. The entity tag is sent as an ETag header unless it is empty.
struct HttpResponse
{
  int status{ 200 };
  std::string contentType{ "application/json" };
  std::string body;
  std::string entityTag;
};

/// An outgoing request to a numeric address, "127.0.0.1:8080".
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
  /// No byte of the request left this process.
  NotSent,
  /// The request may have reached the server; its response is missing or cut off.
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

/// What the owner of an outgoing request is told. mayStillSend runs at the last instant before the first byte leaves;
/// when it returns false nothing is sent. onData is optional: with it, the body arrives piece by piece and the result
/// has none.
struct HttpCallEvents
{
  std::function<bool()> mayStillSend;
  std::function<void(std::string_view)> onData;
  std::function<void(HttpCallResult)> onEnd;
};

}
