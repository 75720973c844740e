#include "ProxiedRequest.h"

// Which software versions a request may use while a rollout is in progress.

namespace Hornbeam::Gateway {

VersionChoice
ProxiedRequest::ChooseVersion() const
{
  auto choice = this->proxy.rollouts.ChoiceFor(this->serviceName, this->versionDraw, this->streamVersion);
  using enum VersionRestriction;
  bool const optional = choice.restriction == PreferTarget || choice.restriction == AvoidTarget;
  if (this->avoidsTarget && optional && this->proxy.rollouts.IsAvoidedAfterFailure(this->serviceName, choice.target))
    choice.restriction = ExcludeTarget;
  return choice;
}

void
ProxiedRequest::Restrict(EndpointQuery& aQuery) const
{
  auto const choice = this->ChooseVersion();
  if (choice.restriction == VersionRestriction::OnlyTarget)
    aQuery.rolloutVersion = choice.target;
  if (choice.restriction == VersionRestriction::ExcludeTarget)
    aQuery.excludedVersion = choice.target;
}

EndpointQuery
ProxiedRequest::MakePreferredQuery() const
{
  auto query = this->MakeQuery();
  auto const choice = this->ChooseVersion();
  if (choice.restriction == VersionRestriction::PreferTarget)
    query.rolloutVersion = choice.target;
  if (choice.restriction == VersionRestriction::AvoidTarget)
    query.excludedVersion = choice.target;
  return query;
}

std::optional<std::string>
ProxiedRequest::ChoosePreferred(SelectionView const& aView, MonotonicTime aNow) const
{
  auto view = aView;
  view.fleetLoads = this->proxy.loads.FleetView();
  auto const query = this->MakeQuery();
  auto preferred = this->MakePreferredQuery();
  preferred.draw = this->proxy.random();
  auto chosen = ChooseEndpoint(view, preferred, aNow);
  bool const hasPreference =
    preferred.rolloutVersion != query.rolloutVersion || preferred.excludedVersion != query.excludedVersion;
  return chosen || !hasPreference ? chosen : ChooseEndpoint(view, query, aNow);
}

}
