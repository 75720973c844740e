#include "RelayWire.h"

namespace Hornbeam::Gateway {

void
WriteNumbers(std::vector<std::uint64_t> const& aNumbers, capnp::List<std::uint64_t>::Builder aWire)
{
  for (unsigned index = 0; index < aNumbers.size(); ++index)
    aWire.set(index, aNumbers[index]);
}

static void
WriteDelta(DocumentDelta const& aDelta, Wire::RelayedDelta::Builder aWire)
{
  aWire.setBase(aDelta.base);
  aWire.setResult(aDelta.result);
  auto pieces = aWire.initPieces(unsigned(aDelta.pieces.size()));
  for (unsigned index = 0; index < aDelta.pieces.size(); ++index) {
    auto const& piece = aDelta.pieces[index];
    pieces[index].setOffset(piece.offset);
    pieces[index].setSize(piece.size);
    if (piece.size == 0)
      pieces[index].setBytes(kj::StringPtr(piece.bytes.c_str(), piece.bytes.size()).asBytes());
  }
}

static std::shared_ptr<DocumentDelta const>
ReadDelta(Wire::RelayedDelta::Reader aWire)
{
  auto delta = std::make_shared<DocumentDelta>();
  delta->base = aWire.getBase();
  delta->result = aWire.getResult();
  for (auto const piece : aWire.getPieces()) {
    auto const bytes = piece.getBytes().asChars();
    delta->pieces.push_back({ piece.getOffset(), piece.getSize(), std::string(bytes.begin(), bytes.size()) });
  }
  return delta;
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
    auto const delta = aUpdate.deltas.find(objects[index].name);
    if (delta != aUpdate.deltas.end())
      WriteDelta(*delta->second, wireObjects[index].initDelta());
    else if (objects[index].document)
      wireObjects[index].setDocument(*objects[index].document);
  }
}

FollowResponse::KindUpdate
ReadUpdate(Wire::RelayedUpdate::Reader aWire)
{
  FollowResponse::KindUpdate result{
    aWire.getKind(), { aWire.getComplete(), aWire.getFrom(), aWire.getTo(), {}, aWire.getReaderLimit() }, {}
  };
  for (auto const object : aWire.getObjects()) {
    LoggedObject logged{ object.getName().cStr(), object.getRevision(), std::nullopt };
    if (object.getDocument().size() > 0)
      logged.document = object.getDocument().cStr();
    if (object.hasDelta())
      result.deltas[logged.name] = ReadDelta(object.getDelta());
    result.update.objects.push_back(std::move(logged));
  }
  return result;
}

}
