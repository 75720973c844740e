#include <LibTable/LibTable.h>
#include <gtest/gtest.h>

using namespace Hornbeam;

namespace {

RowKey
KeyOf(std::string const& aText)
{
  LastReason reason;
  return *ParseRowKey(aText, reason);
}

TableEdit
ReplaceRow(std::string const& aId, std::string const& aRow, Cells aCells, std::optional<Revision> aExpected = {})
{
  return { aId, { { KeyOf(aRow), RowEditKind::Replace, std::move(aCells), aExpected } } };
}

TableDocument
DocumentWithPool()
{
  return ApplyEdit({}, ReplaceRow("first", "pool/encode", { { "warm_limit", "4" } })).document;
}

TEST(TableEdit, ConflictsWhenTheRowHasChanged)
{
  auto const document = DocumentWithPool();
  auto const second = ApplyEdit(document, ReplaceRow("second", "pool/encode", { { "warm_limit", "5" } }, 1));
  ASSERT_EQ(second.verdict, EditVerdict::Applied);
  auto const stale = ApplyEdit(second.document, ReplaceRow("third", "pool/encode", { { "warm_limit", "6" } }, 1));
  EXPECT_EQ(stale.verdict, EditVerdict::Conflict);
  EXPECT_EQ(*stale.conflictingRow, KeyOf("pool/encode"));
}

TEST(TableEdit, AcceptsConcurrentEditsOfDifferentRows)
{
  auto const document = DocumentWithPool();
  auto const one = ApplyEdit(document, ReplaceRow("one", "pool/encode", { { "warm_limit", "5" } }, 1));
  auto const two = ApplyEdit(one.document, ReplaceRow("two", "pool/rerank", {}, 0));
  EXPECT_EQ(two.verdict, EditVerdict::Applied);
  EXPECT_EQ(two.document.rows.size(), 2U);
}

TEST(TableEdit, RecognisesARetryOfAnAppliedEdit)
{
  auto const document = DocumentWithPool();
  auto const retried = ApplyEdit(document, ReplaceRow("first", "pool/encode", { { "warm_limit", "4" } }, 0));
  EXPECT_EQ(retried.verdict, EditVerdict::AlreadyApplied);
  EXPECT_EQ(retried.document.revision, 1U);
}

TEST(TableEdit, ReportsTheRowTheCellAndTheAllowedValues)
{
  struct InvalidEdit
  {
    char const* row;
    Cells cells;
    char const* expectedText;
  };
  std::vector<InvalidEdit> const edits{
    { "pool/encode", { { "warm", "4" } }, "unknown cell 'warm'; allowed: kind" },
    { "pool/encode", { { "warm_limit", "many" } }, "whole number from 1" },
    { "pool/encode", { { "cold_limit", "9" }, { "warm_limit", "4" } }, "cold_limit must not exceed" },
    { "endpoint/e", { { "pool", "none" }, { "address", "a:1" }, { "data_center", "d" } }, "pool/none" },
    { "endpoint/e", { { "pool", "none" } }, "'address' is missing" },
    { "pipeline/p", { { "stages", "encode,none" } }, "pool/none" },
    { "pipeline/p", { { "stages", "encode,encode" }, { "repeatable", "no" } }, "exactly one stage" },
    { "data-center/d", { { "state", "away" } }, "one of in, out" },
  };
  for (auto const& edit : edits) {
    auto const outcome = ApplyEdit(DocumentWithPool(), ReplaceRow("bad", edit.row, edit.cells));
    EXPECT_EQ(outcome.verdict, EditVerdict::Invalid) << edit.row;
    EXPECT_NE(outcome.reason.detail.find(edit.expectedText), std::string::npos) << outcome.reason.detail;
  }
}

TEST(TableEdit, RejectsRemovalOfAReferencedRow)
{
  auto document = DocumentWithPool();
  document = ApplyEdit(document, ReplaceRow("p", "pipeline/p", { { "stages", "encode" } })).document;
  TableEdit const removal{ "r", { { KeyOf("pool/encode"), RowEditKind::Remove, {}, std::nullopt } } };
  EXPECT_EQ(ApplyEdit(document, removal).verdict, EditVerdict::Invalid);
}

TEST(Table, RoundTripsThroughJson)
{
  auto const document = DocumentWithPool();
  LastReason reason;
  auto const decoded = DecodeTable(EncodeTable(document), reason);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->revision, 1U);
  EXPECT_EQ(decoded->recentEdits, document.recentEdits);
  EXPECT_EQ(decoded->rows.at(KeyOf("pool/encode")).cells, document.rows.at(KeyOf("pool/encode")).cells);
  for (std::string const text : { "", "[]", "{\"rows\":{\"pool\":{}}}", "{\"rows\":{\"pool/x\":{\"cells\":[1]}}}" })
    EXPECT_FALSE(DecodeTable(text, reason)) << text;
}

}
