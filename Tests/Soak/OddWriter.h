#pragma once

#include "SoakWorld.h"
#include <random>

namespace Hornbeam::Testing {

/// Another writer to the store, whose entries name nothing to use: any names, fields that are missing or of the wrong
/// type, in every kind that fronts read. Entries come and go; some stand at all times, and lists have short pages.
class OddWriter
{
public:
  explicit OddWriter(SoakWorld& aWorld);

  /// Writes some entries, and goes on writing and removing them until the world ends.
  void Start();

private:
  std::string NextName();
  void Write();

  SoakWorld& world;
  std::mt19937 random;
  std::vector<std::pair<std::string, std::string>> written;
};

}
