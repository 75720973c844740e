#pragma once

#include "RequestService.h"

namespace Hornbeam {

/// The HTTP interface for callers: which front to use, and requests to pipelines.
class CallerService
{
public:
  explicit CallerService(Kernel& aKernel);

  void Handle(HttpRequest const& aRequest, HttpResponder aResponder);

  /// The response to GET /v1/entry.
  HttpResponse Entry();

  /// Runs a request that another front has forwarded.
  void HandleForwarded(ForwardedRequest const& aForwarded, std::function<void(std::string)> aDone);

private:
  void HandlePipelineRequest(HttpRequest const& aRequest, std::string const& aPipeline, HttpResponder aResponder);
  void RunStreamed(CallerRequest const& aRequest, HttpResponder const& aResponder);
  void RunBuffered(CallerRequest const& aRequest, HttpResponder const& aResponder);

  Clock& clock;
  MembershipService& membership;
  RequestService& requests;
  FrontSettings const& settings;
  std::uint64_t roundRobinIndex{ 0 };
};

/// Parses a caller's JSON body. On failure aReason names the member and the allowed values.
std::optional<CallerRequest>
ParseCallerRequest(std::string const& aPipeline, std::string const& aBody, LastReason& aReason);

}
