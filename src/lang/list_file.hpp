// The entries of a named list as files have them: one a line, blank lines and what follows '#' left out.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "lang/load.hpp"

namespace brasslift::lang {

// Entries in the one way they are written, with what they say beside (a cap's rate in thousandths of one an
// hour; else 0).
using ListEntries = std::map<std::string, std::uint64_t>;

// Names of destinations, as a document declares them.
using DestinationNames = std::map<std::string, DestinationId>;
DestinationNames destination_names(const Document& document);

// Reads a file; faults are told with their line and column. `platform`: nullptr where its names are not
// known.
ListEntries read_list(const std::string& file, std::string_view text, plan::ListKind kind,
                      const DestinationNames& names, const Platform* platform, Findings& findings);
// Why an entry, as it travels between members, cannot be worked with here; empty: it can.
std::string judge_entry(const std::string& key, plan::ListKind kind, const Platform* platform);
// As a line of a file.
std::string write_entry(const std::string& key, std::uint64_t value, plan::ListKind kind);

}  // namespace brasslift::lang
