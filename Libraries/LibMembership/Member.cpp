#include "Member.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace Hornbeam {

using nlohmann::json;

Member const*
FindMember(std::vector<Member> const& aMembers, std::string const& aName)
{
  auto const found = std::ranges::find(aMembers, aName, &Member::name);
  return found == aMembers.end() ? nullptr : &*found;
}

std::size_t
MajorityOf(std::size_t aMembers)
{
  return aMembers / 2 + 1;
}

static Member const*
HeaviestMember(EpochRecord const& aRecord, std::string const& aKey, std::string const& aDataCenter)
{
  Member const* heaviest = nullptr;
  std::uint64_t greatest = 0;
  for (auto const& member : aRecord.members) {
    if (!aDataCenter.empty() && member.dataCenter != aDataCenter)
      continue;
    auto const weight = RendezvousWeight(aKey, member.name);
    if (heaviest != nullptr && weight <= greatest)
      continue;
    heaviest = &member;
    greatest = weight;
  }
  return heaviest;
}

Member const&
OwnerOf(EpochRecord const& aRecord, std::string const& aKey, std::string const& aDataCenter)
{
  VERIFY(!aRecord.members.empty());
  if (auto const* const local = HeaviestMember(aRecord, aKey, aDataCenter))
    return *local;
  return *HeaviestMember(aRecord, aKey, "");
}

static json
EncodeMembers(std::vector<Member> const& aMembers)
{
  json members = json::array();
  for (auto const& member : aMembers) {
    members.push_back({ { "name", member.name },
                        { "incarnation", member.incarnation },
                        { "peer_address", member.peerAddress },
                        { "caller_address", member.callerAddress },
                        { "data_center", member.dataCenter } });
  }
  return members;
}

std::string
EncodeRecord(EpochRecord const& aRecord)
{
  json const record = { { "epoch", aRecord.epoch },
                        { "members", EncodeMembers(aRecord.members) },
                        { "previous", EncodeMembers(aRecord.previous) },
                        { "drained", aRecord.drained } };
  return record.dump();
}

static std::vector<Member>
DecodeMembers(json const& aMembers)
{
  std::vector<Member> members;
  for (auto const& each : aMembers) {
    members.push_back({ each.value("name", ""),
                        each.value("incarnation", Incarnation(0)),
                        each.value("peer_address", ""),
                        each.value("caller_address", ""),
                        each.value("data_center", "") });
  }
  return members;
}

std::optional<EpochRecord>
DecodeRecord(std::string const& aText, LastReason& aReason)
{
  auto const record = json::parse(aText, nullptr, false);
  bool const wellFormed = record.is_object() && record.contains("epoch") && record.contains("members") &&
                          record["members"].is_array() && record.contains("previous") && record["previous"].is_array();
  if (!wellFormed) {
    aReason = { ReasonCode::InvalidInput,
                "the membership record must be a JSON object with epoch, members and previous" };
    return std::nullopt;
  }
  return EpochRecord{ record.value("epoch", EpochNumber(0)),
                      DecodeMembers(record["members"]),
                      DecodeMembers(record["previous"]),
                      record.value("drained", std::vector<std::string>()) };
}

}
