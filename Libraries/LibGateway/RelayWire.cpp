#include "RelayWire.h"

namespace Hornbeam::Gateway {

void
WriteRevisions(std::vector<std::uint64_t> const& aRevisions, capnp::List<std::uint64_t>::Builder aWire)
{
  for (unsigned index = 0; index < aRevisions.size(); ++index)
    aWire.set(index, aRevisions[index]);
}

void
WriteUpdate(FollowResponse::KindUpdate const& aUpdate, Wire::RelayedUpdate::Builder aWire)
{
  aWire.setKind(std::uint8_t(aUpdate.kind));
  aWire.setComplete(aUpdate.update.complete);
  aWire.setFrom(aUpdate.update.from);
  aWire.setTo(aUpdate.update.to);
  aWire.setReaderLimit(aUpdate.update.readerLimit);
  auto const& objects = aUpdate.update.objects;
  auto wireObjects = aWire.initObjects(unsigned(objects.size()));
  for (unsigned index = 0; index < objects.size(); ++index) {
    wireObjects[index].setName(objects[index].name);
    wireObjects[index].setRevision(objects[index].revision);
    if (objects[index].document)
      wireObjects[index].setDocument(*objects[index].document);
  }
}

FollowResponse::KindUpdate
ReadUpdate(Wire::RelayedUpdate::Reader aWire)
{
  FollowResponse::KindUpdate result{
    aWire.getKind(), { aWire.getComplete(), aWire.getFrom(), aWire.getTo(), {}, aWire.getReaderLimit() }
  };
  for (auto const object : aWire.getObjects()) {
    LoggedObject logged{ object.getName().cStr(), object.getRevision(), std::nullopt };
    if (object.getDocument().size() > 0)
      logged.document = object.getDocument().cStr();
    result.update.objects.push_back(std::move(logged));
  }
  return result;
}

}
