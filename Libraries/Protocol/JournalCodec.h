#pragma once

#include "State/Workload.h"

#include <string>
#include <vector>

namespace Cranberrymount {

/** @return @p records as one FlatBuffer, in order. */
std::string encodeJournal(const std::vector<JournalRecord> &records);

/**
 * @return the records of one journal segment.
 * @throws ProtocolError if @p bytes are not what encodeJournal() made.
 */
std::vector<JournalRecord> decodeJournal(const std::string &bytes);

} // namespace Cranberrymount
