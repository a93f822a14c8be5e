// Proves that a table comes back from CSV as it was written and that each kind
// of fault is reported with its line and column.
#include "table_csv.h"

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace egretswitch::internal {
namespace {

const std::string kHeader =
    "kind,version,weight,max_running,max_queued,team_rate,retry_percent,"
    "prefer_response\n";
const VersionedRow kCheck = {3, {"check", 8, 0, 5000, 50, 20, 80}};
const VersionedRow kAlert = {0, {"alert.v2", 1, 7, 4294967295, 0, 0, 100}};

std::string ErrorsOf(const std::string& text) {
  const auto rows = ParseTableCsv(text, "t.csv");
  return rows.ok() ? "" : std::string(rows.status().message());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(table_csv)

BOOST_AUTO_TEST_CASE(table_written_and_read_is_unchanged) {
  const std::vector<VersionedRow> rows = {kCheck, kAlert};
  const std::string text = WriteTableCsv(rows);
  BOOST_TEST(text == kHeader +
                         "check,3,8,0,5000,50,20,80\n"
                         "alert.v2,0,1,7,4294967295,0,0,100\n");
  const auto read = ParseTableCsv(text, "t.csv");
  BOOST_REQUIRE_MESSAGE(read.ok(), read.status().message());
  BOOST_TEST((*read == rows));
}

BOOST_AUTO_TEST_CASE(table_from_a_spreadsheet_is_read) {
  std::string text = "\xef\xbb\xbf" + kHeader;
  text.insert(text.size() - 1, "\r");
  text += "\"check\",3,\"8\",0,5000,50,20,80";  // no end of line
  const auto read = ParseTableCsv(text, "t.csv");
  BOOST_REQUIRE_MESSAGE(read.ok(), read.status().message());
  BOOST_TEST((*read == std::vector<VersionedRow>{kCheck}));
}

BOOST_AUTO_TEST_CASE(table_without_rows_is_read) {
  const auto read = ParseTableCsv(WriteTableCsv({}), "t.csv");
  BOOST_REQUIRE(read.ok());
  BOOST_TEST(read->empty());
}

BOOST_AUTO_TEST_CASE(header_that_differs_is_refused) {
  BOOST_TEST(ErrorsOf("") ==
             "user error: t.csv:1: found nothing, allowed the header line " +
                 kHeader.substr(0, kHeader.size() - 1));
  BOOST_TEST(ErrorsOf("kind,weight\n")
                 .starts_with("user error: t.csv:1: found \"kind,weight\", "
                              "allowed the header line kind,version,"));
}

BOOST_AUTO_TEST_CASE(row_with_too_few_fields_is_refused) {
  BOOST_TEST(ErrorsOf(kHeader + "check,3\n") ==
             "user error: t.csv:2: found 2 fields, allowed 8 fields");
  BOOST_TEST(ErrorsOf(kHeader + "\n") ==
             "user error: t.csv:2: found 1 fields, allowed 8 fields");
}

BOOST_AUTO_TEST_CASE(field_that_is_no_number_is_refused) {
  const std::string allowed = ", allowed a whole number from 0 to 4294967295";
  for (const char* bad : {"", "x", "-1", "1.5", " 1", "+1", "4294967296"}) {
    BOOST_TEST(ErrorsOf(kHeader + "check,3," + bad + ",0,0,0,0,0\n") ==
               "user error: t.csv:2: column weight: found \"" +
                   std::string(bad) + "\"" + allowed);
  }
  BOOST_TEST(ErrorsOf(kHeader + "check,v3,1,0,0,0,0,0\n") ==
             "user error: t.csv:2: column version: found \"v3\", allowed a "
             "whole number from 0 to 18446744073709551615");
}

BOOST_AUTO_TEST_CASE(value_out_of_range_is_refused) {
  BOOST_TEST(ErrorsOf(kHeader + "check,3,1001,0,0,0,0,0\n") ==
             "user error: t.csv:2: column weight: found 1001, allowed 1 to "
             "1000");
  BOOST_TEST(ErrorsOf(kHeader + "Check,3,1,0,0,0,0,0\n") ==
             "user error: t.csv:2: column kind: found \"Check\", allowed 1 to "
             "64 characters of a-z 0-9 _ . -");
}

BOOST_AUTO_TEST_CASE(kind_given_twice_is_refused) {
  BOOST_TEST(ErrorsOf(kHeader + "a,0,1,0,0,0,0,0\na,0,2,0,0,0,0,0\n") ==
             "user error: t.csv:3: column kind: found \"a\" again, as in line "
             "2, allowed each kind once");
}

BOOST_AUTO_TEST_CASE(faults_of_several_rows_are_all_reported) {
  BOOST_TEST(ErrorsOf(kHeader + "a,0,x,0,0,0,y,0\nb,0,1,0,0,0,101,0\n") ==
             "user error: t.csv:2: column weight: found \"x\", allowed a whole "
             "number from 0 to 4294967295\n"
             "user error: t.csv:2: column retry_percent: found \"y\", allowed "
             "a whole number from 0 to 4294967295\n"
             "user error: t.csv:3: column retry_percent: found 101, allowed 0 "
             "to 100");
}

BOOST_AUTO_TEST_CASE(text_that_is_not_csv_is_refused_at_its_line) {
  BOOST_TEST(ErrorsOf(kHeader + "a\"b,0\n") ==
             "user error: t.csv:2: found a quote within a field that has none "
             "around it, allowed the whole field in quotes, with each inner "
             "quote doubled");
  BOOST_TEST(ErrorsOf(kHeader + "\"a\"b,0\n") ==
             "user error: t.csv:2: found text after the closing quote, allowed "
             "a comma or the end of the line");
  BOOST_TEST(ErrorsOf(kHeader + "\"a\n\n") ==
             "user error: t.csv:4: found a quoted field without an end, "
             "allowed a closing quote");
  BOOST_TEST(ErrorsOf(kHeader + "a\rb") ==
             "user error: t.csv:2: found a carriage return alone, allowed LF "
             "or CRLF at the end of a line");
}

BOOST_AUTO_TEST_CASE(line_numbers_go_on_behind_a_quoted_line_end) {
  BOOST_TEST(ErrorsOf(kHeader + "\"a\n\"\"\",0\nb,0\n") ==
             "user error: t.csv:2: found 2 fields, allowed 8 fields\n"
             "user error: t.csv:4: found 2 fields, allowed 8 fields");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace egretswitch::internal
