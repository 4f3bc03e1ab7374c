/**
 * All headers of stored records. Each kind has its encoder and its parser in the same file.
 *
 * Elsewhere: the epoch's record in coordination/ws-epoch.h, the catalog's in protocol/ws-cloud.h,
 * the resource use of teams in ws-team-use.h. Stored field names must not change, since all
 * versions of the program that share a store read them.
 */
#pragma once

#include "storage/ws-chunk-record.h"
#include "storage/ws-cluster-records.h"
#include "storage/ws-job-record.h"
#include "storage/ws-machine-records.h"
