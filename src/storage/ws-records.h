/**
 * The stored records: for each kind one encoder and one parser, side by side in one file.
 *
 * The epoch's record is in coordination/ws-epoch.h, the catalog's in protocol/ws-cloud.h, what
 * teams use in ws-team-use.h. Spellings of stored fields stay as they are: all versions of the
 * program that share a store read them.
 */
#pragma once

#include "storage/ws-chunk-record.h"
#include "storage/ws-cluster-records.h"
#include "storage/ws-job-record.h"
#include "storage/ws-machine-records.h"
