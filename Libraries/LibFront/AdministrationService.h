#pragma once

#include "MetricsService.h"

namespace Hornbeam {

/// The HTTP interface for operators: rows and cells of the table, data centres, status, metrics.
class AdministrationService
{
public:
  explicit AdministrationService(Kernel& aKernel);

  void Handle(HttpRequest const& aRequest, HttpResponder aResponder);

private:
  bool IsAuthorized(HttpRequest const& aRequest) const;
  void HandleTable(HttpRequest const& aRequest, HttpResponder const& aResponder);
  void HandleRow(HttpRequest const& aRequest, RowKey const& aKey, HttpResponder const& aResponder);
  void HandleDataCenter(std::string const& aSuffix, HttpResponder const& aResponder);
  void HandleEdits(HttpRequest const& aRequest, HttpResponder const& aResponder);
  void SubmitEdit(TableEdit aEdit, HttpResponder const& aResponder);
  HttpResponse RespondToEdit(EditResult const& aResult) const;
  HttpResponse Status() const;
  std::string NewEditIdentifier();

  Kernel& kernel;
  Clock& clock;
  MembershipService& membership;
  ConfigurationService& configuration;
  GrantService& grants;
  MetricsService& metrics;
  FrontSettings const& settings;
  std::uint64_t editCount{ 0 };
};

}
