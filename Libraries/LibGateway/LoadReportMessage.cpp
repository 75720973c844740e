#include "LoadReportMessage.h"

namespace Hornbeam::Gateway {

void
WriteLoads(LoadReport const& aReport, Wire::LoadReport::Builder aWire)
{
  aWire.setFront(aReport.front);
  aWire.setDataCenter(aReport.dataCenter);
  aWire.setIncarnation(aReport.incarnation);
  aWire.setNumber(aReport.number);
  aWire.setLevel(std::uint8_t(aReport.level));
  aWire.setFronts(std::uint16_t(std::min(aReport.sum.fronts, kMaxLoadFronts)));
  aWire.setAgeUs(aReport.sum.age.count());
  auto const loads = EncodeLoads(aReport.sum.byEndpoint);
  aWire.setLoads({ reinterpret_cast<kj::byte const*>(loads.data()), loads.size() });
}

std::optional<LoadReport>
ReadLoads(Wire::LoadReport::Reader aWire)
{
  auto const bytes = aWire.getLoads();
  auto loads = DecodeLoads({ reinterpret_cast<char const*>(bytes.begin()), bytes.size() });
  if (!loads)
    return std::nullopt;
  return LoadReport{ aWire.getFront().cStr(), aWire.getDataCenter().cStr(),
                     aWire.getIncarnation(),  aWire.getNumber(),
                     aWire.getLevel(),        { aWire.getFronts(), Duration(aWire.getAgeUs()), std::move(*loads) } };
}

}
