#pragma once

#include "StandIns.h"

namespace Review {

/// What a handle was made for.
struct Piece
{
  std::string request;
  unsigned stage{ 0 };
  unsigned segment{ 0 };
  std::string engine;
};

/// The results that lie at stage servers, and what was made for whom.
class Results
{
public:
  void Add(std::string const& aHandle, Piece aPiece)
  {
    std::lock_guard const lock(this->mutex);
    this->made[aHandle] = std::move(aPiece);
    this->present.insert(aHandle);
  }
  void Free(std::string const& aHandle)
  {
    std::lock_guard const lock(this->mutex);
    this->present.erase(aHandle);
  }
  bool IsPresent(std::string const& aHandle)
  {
    std::lock_guard const lock(this->mutex);
    return this->present.contains(aHandle);
  }
  std::optional<Piece> Maker(std::string const& aHandle)
  {
    std::lock_guard const lock(this->mutex);
    auto const found = this->made.find(aHandle);
    return found == this->made.end() ? std::nullopt : std::optional(found->second);
  }

private:
  std::mutex mutex;
  std::map<std::string, Piece> made;
  std::set<std::string> present;
};

struct StageTimes
{
  unsigned batch{ 8 };
  std::chrono::microseconds call{ 200000 };
  std::chrono::microseconds item{ 21000 };
};

/// A server of a stage service with one slot and a queue of two calls.
class StageServer
{
public:
  /// Called for each answer to a call, with its number from 1; returns whether a second copy of it is sent, late: while
  /// the next response is expected on the connection.
  std::function<bool(unsigned)> doublesAnswer;

  StageServer(std::string aId, Results& aResults, Record& aRecord, StageTimes aTimes)
    : id(std::move(aId))
    , results(aResults)
    , record(aRecord)
    , times(aTimes)
  {
  }

  void Start()
  {
    this->server.Start([this](std::shared_ptr<Connection> const& aConnection) { this->Serve(*aConnection); });
  }

  std::string const& Address() const { return this->server.Address(); }
  std::string const& Id() const { return this->id; }

private:
  /// How long after the next request the copy of an answer arrives.
  static constexpr std::chrono::milliseconds kCopyDelay{ 40 };

  void Serve(Connection& aConnection)
  {
    std::string copy;
    while (auto const request = aConnection.Read()) {
      if (!copy.empty()) {
        Pause(kCopyDelay);
        this->record.Note(this->id + " sends the second copy of an answer while the next response is expected");
        if (!aConnection.Send(std::exchange(copy, "")))
          return;
      }
      auto const answer = request->Target() == "/stage-run" ? this->Run(*request) : this->Other(*request);
      if (!aConnection.Send(answer))
        return;
      if (request->Target() == "/stage-run" && this->doublesAnswer && this->doublesAnswer(++this->answers))
        copy = answer;
    }
  }

  std::string Other(Message const& aRequest)
  {
    auto const body = json::parse(aRequest.body, nullptr, false);
    if (aRequest.Target() == "/stage-free" && body.is_object())
      for (auto const& handle : body["handle_ids"])
        this->results.Free(handle.get<std::string>());
    return JsonAnswer(200, json::object());
  }

  std::string Run(Message const& aRequest)
  {
    if (aRequest.Field("hornbeamfront-expected-instance") != this->id)
      return Answer(421, "", "");
    if (++this->waiting > 3) {
      --this->waiting;
      return Answer(503, "Hornbeamfront-Not-Executed: 1\r\n" + this->Load(), "");
    }
    std::lock_guard const slot(this->slot);
    auto const body = json::parse(aRequest.body, nullptr, false);
    json items = json::array();
    std::string list;
    for (auto const& item : body["items"]) {
      Piece const piece{ item["id"], item["phase"], item["segment"], this->id };
      char handle[64];
      std::snprintf(handle, sizeof(handle), "%s/%011x", this->Address().c_str(), ++this->handles);
      list += " " + piece.request + ":" + std::to_string(piece.stage) + ":" + std::to_string(piece.segment);
      this->CheckInputs(piece, item);
      this->results.Add(handle, piece);
      items.push_back({ { "handle_id", handle } });
    }
    if (items.size() <= 16)
      this->record.Note(this->id + " runs" + list);
    else
      this->record.Note(this->id + " runs " + std::to_string(items.size()) + " pieces");
    std::this_thread::sleep_for(this->times.call + this->times.item * items.size());
    --this->waiting;
    return Answer(
      200, "Content-Type: application/json\r\n" + Echo(aRequest) + this->Load(), json{ { "items", items } }.dump());
  }

  /// Engines echo the id of a request that has one.
  static std::string Echo(Message const& aRequest)
  {
    auto const request = aRequest.Field("hornbeamfront-request-id");
    return request.empty() ? "" : "Hornbeamfront-Request-Id: " + request + "\r\n";
  }

  void CheckInputs(Piece const& aPiece, json const& aItem)
  {
    if (!aItem.contains("inputs"))
      return;
    std::map<std::string, unsigned> counts;
    for (auto const& input : aItem["inputs"])
      ++counts[input.get<std::string>()];
    for (auto const& [handle, count] : counts) {
      auto const maker = this->results.Maker(handle);
      if (count > 1 || !maker || maker->request != aPiece.request) {
        ++this->wrongInputs;
        this->record.Note("MIXED: piece " + aPiece.request + ":" + std::to_string(aPiece.stage) + ":" +
                          std::to_string(aPiece.segment) + " is given " + handle + " " + std::to_string(count) +
                          " times, made for " + (maker ? maker->request : "nobody"));
      }
    }
  }

  std::string Load() const
  {
    auto const waits = this->waiting.load();
    return "Hornbeamfront-Instance-Load: 1," + std::to_string(waits > 1 ? waits - 1 : 0) + ",1\r\n";
  }

public:
  std::atomic<unsigned> wrongInputs{ 0 };

private:
  std::string const id;
  Results& results;
  Record& record;
  StageTimes const times;
  std::mutex slot;
  std::atomic<int> waiting{ 0 };
  std::atomic<unsigned> handles{ 0 };
  unsigned answers{ 0 };
  Server server;
};

/// A model server: streams events once it has fetched the inputs.
class ModelServer
{
public:
  ModelServer(std::string aId, Results& aResults, Record& aRecord)
    : id(std::move(aId))
    , results(aResults)
    , record(aRecord)
  {
  }

  void Start()
  {
    this->server.Start([this](std::shared_ptr<Connection> const& aConnection) {
      while (auto const request = aConnection->Read())
        if (!this->Handle(*aConnection, *request))
          return;
    });
  }

  std::string const& Address() const { return this->server.Address(); }
  std::string const& Id() const { return this->id; }

  std::atomic<unsigned> wrongInputs{ 0 };
  unsigned events{ 8 };

private:
  bool Handle(Connection& aConnection, Message const& aRequest)
  {
    auto const request = aRequest.Field("hornbeamfront-request-id");
    auto const head = "Hornbeamfront-Request-Id: " + request + "\r\n";
    if (aRequest.Field("hornbeamfront-expected-instance") != this->id)
      return aConnection.Send(Answer(421, head, ""));
    auto const inputs = aRequest.Field("hornbeamfront-inputs");
    if (inputs.empty())
      return aConnection.Send(Answer(400, head + "Hornbeamfront-Not-Executed: 1\r\n", ""));
    if (!this->CheckInputs(request, inputs))
      return aConnection.Send(Answer(409, head + "Hornbeamfront-Not-Executed: 1\r\n", ""));
    this->record.Note(this->id + " runs " + request);
    Pause(300ms);
    if (!aConnection.Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" +
                          head + "Hornbeamfront-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\r\n"))
      return false;
    for (unsigned event = 1; event <= this->events; ++event) {
      if (!aConnection.Send(Chunk("id: " + std::to_string(event) + "\ndata: " + request + "\n\n")))
        return false;
      Pause(30ms);
    }
    return aConnection.Send("0\r\n\r\n");
  }

  /// Returns whether all inputs exist.
  bool CheckInputs(std::string const& aRequest, std::string const& aInputs)
  {
    std::map<std::string, unsigned> counts;
    for (std::size_t begin = 0; begin < aInputs.size();) {
      auto const end = std::min(aInputs.find(',', begin), aInputs.size());
      auto handle = aInputs.substr(begin, end - begin);
      handle.erase(0, handle.find_first_not_of(' '));
      ++counts[handle];
      begin = end + 1;
    }
    bool present = true;
    for (auto const& [handle, count] : counts) {
      auto const maker = this->results.Maker(handle);
      present = present && this->results.IsPresent(handle);
      if (maker && maker->request == aRequest && count == 1)
        continue;
      ++this->wrongInputs;
      this->record.Note("MIXED: request " + aRequest + " is given " + handle + " " + std::to_string(count) +
                        " times, made for " + (maker ? maker->request : "nobody"));
    }
    if (!present)
      this->record.Note(this->id + " rejects " + aRequest + ": an input is gone");
    return present;
  }

  std::string const id;
  Results& results;
  Record& record;
  Server server;
};

struct StreamRequest
{
  std::string id;
  std::string path{ "/notes/1" };
  std::string chunks;
  std::chrono::milliseconds deadline{ 6000 };
  /// The part of the prompt that other requests share.
  std::string part{ "5c1e07a2" };
};

inline std::string
Encode(StreamRequest const& aRequest)
{
  return "POST " + aRequest.path + " HTTP/1.1\r\nHost: pipeline.example\r\nHornbeamfront-Request-Id: " + aRequest.id +
         "\r\nHornbeamfront-Model: m\r\nHornbeamfront-Token-Usage: 1460,80\r\nHornbeamfront-Prefix-Hash: " +
         aRequest.part + ":800," + aRequest.id + ":660\r\nHornbeamfront-Chunks: " + aRequest.chunks +
         "\r\nHornbeamfront-Chunk-Key: k" + aRequest.id +
         "\r\nHornbeamfront-Deadline-Ms: " + std::to_string(aRequest.deadline.count()) +
         "\r\nAuthorization: Bearer key-1\r\nContent-Length: 6\r\n\r\nprompt";
}

/// Ids of requests: unique, sixteen hexadecimal digits.
inline std::string
NextRequestId()
{
  static std::atomic<unsigned> last{ 0 };
  char text[32];
  std::snprintf(text, sizeof(text), "9c41d07b%08x", ++last);
  return text;
}

}
