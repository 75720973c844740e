#include "WireFormat.h"

namespace Hornbeam {

static void
WriteMember(Member const& aMember, Wire::Member::Builder aWire)
{
  aWire.setName(aMember.name);
  aWire.setIncarnation(aMember.incarnation);
  aWire.setPeerAddress(aMember.peerAddress);
  aWire.setCallerAddress(aMember.callerAddress);
  aWire.setDataCenter(aMember.dataCenter);
}

static Member
ReadMember(Wire::Member::Reader aWire)
{
  return { aWire.getName().cStr(),
           aWire.getIncarnation(),
           aWire.getPeerAddress().cStr(),
           aWire.getCallerAddress().cStr(),
           aWire.getDataCenter().cStr() };
}

static void
WriteMembers(std::vector<Member> const& aMembers, capnp::List<Wire::Member>::Builder aWire)
{
  unsigned index = 0;
  for (auto const& member : aMembers)
    WriteMember(member, aWire[index++]);
}

static std::vector<Member>
ReadMembers(capnp::List<Wire::Member>::Reader aWire)
{
  std::vector<Member> members;
  for (auto const member : aWire)
    members.push_back(ReadMember(member));
  return members;
}

void
WriteHeartbeat(Heartbeat const& aHeartbeat, Wire::Heartbeat::Builder aWire)
{
  aWire.setName(aHeartbeat.name);
  aWire.setIncarnation(aHeartbeat.incarnation);
  aWire.setKnownEpoch(aHeartbeat.knownEpoch);
  aWire.setActiveEpoch(aHeartbeat.activeEpoch);
  aWire.setTable(aHeartbeat.table);
  aWire.setDraining(aHeartbeat.mode == ServingMode::Draining);
  if (!aHeartbeat.record)
    return;
  auto record = aWire.initRecord();
  record.setEpoch(aHeartbeat.record->epoch);
  auto const& members = aHeartbeat.record->members;
  auto const& previous = aHeartbeat.record->previous;
  WriteMembers(members, record.initMembers(static_cast<unsigned>(members.size())));
  WriteMembers(previous, record.initPrevious(static_cast<unsigned>(previous.size())));
  auto const& drained = aHeartbeat.record->drained;
  auto names = record.initDrained(static_cast<unsigned>(drained.size()));
  for (unsigned index = 0; index < names.size(); ++index)
    names.set(index, drained[index]);
}

Heartbeat
ReadHeartbeat(Wire::Heartbeat::Reader aWire)
{
  Heartbeat heartbeat;
  heartbeat.name = aWire.getName().cStr();
  heartbeat.incarnation = aWire.getIncarnation();
  heartbeat.knownEpoch = aWire.getKnownEpoch();
  heartbeat.activeEpoch = aWire.getActiveEpoch();
  heartbeat.table = aWire.getTable();
  heartbeat.mode = aWire.getDraining() ? ServingMode::Draining : ServingMode::Serving;
  if (aWire.hasRecord()) {
    auto const record = aWire.getRecord();
    heartbeat.record =
      EpochRecord{ record.getEpoch(), ReadMembers(record.getMembers()), ReadMembers(record.getPrevious()), {} };
    for (auto const name : record.getDrained())
      heartbeat.record->drained.emplace_back(name.cStr());
  }
  return heartbeat;
}

static void
WriteGrantItem(GrantItem const& aItem, Wire::GrantItem::Builder aWire)
{
  aWire.setKey(aItem.key);
  aWire.setSequence(aItem.request.sequence);
  aWire.setHeld(static_cast<unsigned>(aItem.request.held));
  aWire.setUsed(static_cast<unsigned>(aItem.request.used));
  aWire.setWanted(static_cast<unsigned>(aItem.request.wanted));
  aWire.setSucceeded(static_cast<unsigned>(aItem.observed.succeeded));
  aWire.setFailed(static_cast<unsigned>(aItem.observed.failed));
  aWire.setTotalLatency(static_cast<std::uint64_t>(aItem.observed.totalLatency.count()));
  aWire.setHintIncarnation(aItem.hint.incarnation);
  aWire.setHintLimit(static_cast<unsigned>(aItem.hint.limit));
}

static GrantItem
ReadGrantItem(Wire::GrantItem::Reader aWire, std::string const& aHolder)
{
  GrantItem item;
  item.key = aWire.getKey().cStr();
  item.request = { aHolder,
                   aWire.getSequence(),
                   static_cast<int>(aWire.getHeld()),
                   static_cast<int>(aWire.getUsed()),
                   static_cast<int>(aWire.getWanted()) };
  item.observed = { static_cast<int>(aWire.getSucceeded()),
                    static_cast<int>(aWire.getFailed()),
                    Duration(static_cast<std::int64_t>(aWire.getTotalLatency())) };
  item.hint = { aWire.getHintIncarnation(), static_cast<int>(aWire.getHintLimit()) };
  return item;
}

void
WriteGrantBatch(GrantBatch const& aBatch, Wire::GrantBatch::Builder aWire)
{
  aWire.setHolder(aBatch.holder);
  aWire.setEpoch(aBatch.epoch);
  aWire.setComplete(aBatch.complete);
  aWire.setResidual(static_cast<std::uint64_t>(aBatch.residual.count()));
  auto items = aWire.initItems(static_cast<unsigned>(aBatch.items.size()));
  unsigned index = 0;
  for (auto const& item : aBatch.items)
    WriteGrantItem(item, items[index++]);
}

GrantBatch
ReadGrantBatch(Wire::GrantBatch::Reader aWire)
{
  GrantBatch batch{ aWire.getHolder().cStr(), aWire.getEpoch(), {}, aWire.getComplete(), {} };
  batch.residual = Duration(static_cast<std::int64_t>(aWire.getResidual()));
  for (auto const item : aWire.getItems())
    batch.items.push_back(ReadGrantItem(item, batch.holder));
  return batch;
}

void
WriteGrantResult(GrantResult const& aResult, Wire::GrantResult::Builder aWire)
{
  aWire.setKey(aResult.key);
  aWire.setAnswered(aResult.grant.has_value());
  if (aResult.grant) {
    aWire.setSequence(aResult.grant->sequence);
    aWire.setTotal(static_cast<unsigned>(aResult.grant->total));
  }
  aWire.setLimit(static_cast<unsigned>(aResult.limit));
  aWire.setCold(aResult.cold);
  aWire.setIncarnation(aResult.incarnation);
}

GrantResult
ReadGrantResult(Wire::GrantResult::Reader aWire)
{
  GrantResult result;
  result.key = aWire.getKey().cStr();
  if (aWire.getAnswered())
    result.grant = Grant{ static_cast<int>(aWire.getTotal()), aWire.getSequence() };
  result.limit = static_cast<int>(aWire.getLimit());
  result.cold = aWire.getCold();
  result.incarnation = aWire.getIncarnation();
  return result;
}

}
