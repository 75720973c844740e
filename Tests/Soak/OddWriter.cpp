#include "OddWriter.h"
#include <Platform/StandInTable.h>
#include <iterator>

namespace Hornbeam::Testing {

static constexpr std::size_t kPageSize = 3;
static constexpr unsigned kEntries = 40;
static constexpr Duration kWriteInterval = 150ms;

OddWriter::OddWriter(SoakWorld& aWorld)
  : world(aWorld)
  , random(aWorld.settings.seed)
{
}

std::string
OddWriter::NextName()
{
  static constexpr std::string_view kParts[] = { "%",        "&",  "+",   "#",        " ",  "/",      "?",
                                                 "=",        "..", "%41", "&after=z", "\"", "\n",     "\x7f",
                                                 "\xc3\xa9", ":",  "i-",  "a",        "z",  "front-", "7" };
  std::string name;
  for (auto parts = 1 + this->random() % 5; parts > 0; --parts)
    name += kParts[this->random() % std::size(kParts)];
  // No endpoint or front has a name that ends like this.
  return name + "~";
}

void
OddWriter::Write()
{
  static constexpr char const* kKinds[] = { "servers", "servers",          "servers",        "config",
                                            "fronts",  "endpoint-crashes", "stream-origins", "evacuations" };
  if (this->written.size() >= kEntries) {
    auto const index = this->random() % this->written.size();
    this->world.store->Remove(this->written[index].first, this->written[index].second);
    this->written.erase(this->written.begin() + std::ptrdiff_t(index));
  }
  std::string const kind = kKinds[this->random() % std::size(kKinds)];
  static constexpr char const* kFields[] = { "service", "address", "zone", "version", "state", "born" };
  auto entry = StandInEntry("ledger", "127.0.0.1:1", "ready", "a");
  entry[kFields[this->random() % std::size(kFields)]] = nlohmann::json::array({ 7 });
  this->written.emplace_back(kind, this->NextName());
  this->world.store->Put(kind, this->written.back().second, this->random() % 3 == 0 ? nlohmann::json(5) : entry);
}

void
OddWriter::Start()
{
  this->world.store->pageSize = kPageSize;
  if (this->written.empty())
    for (unsigned count = 0; count < kEntries; ++count)
      this->Write();
  this->Write();
  this->world.clock.Schedule(kWriteInterval, [this] { this->Start(); });
}

}
