/**
 * The setup that the one-node tests of evidence share: the controller n0 leads and has assigned the
 * only task of the job req-1 to a machine that n1 owns as soon as it is a member.
 */
#pragma once

#include "sim/fixture.h"

/** Times that n0 needs to write an epoch, and to commit a release. */
#define EPOCH_CHANGE_WAIT_S 1.5
#define COMMIT_WAIT_S 2.0

/** A controller, the machine, and the sequence number of the machine's last heartbeat. */
typedef struct {
  Fixture *fixture;
  char *machine;
  guint64 sequence;
} Scenario;

/**
 * Sets up a cluster in which n0 leads and has assigned the only task of a job to the machine. The
 * machine hasn't received the launch command.
 */
void scenario_begin(Scenario *scenario);
/** Frees what the scenario owns. */
void scenario_end(Scenario *scenario);
/** Sends the next heartbeat of the machine, without advancing the time. */
void scenario_send_heartbeat(Scenario *scenario, guint64 fencing_token,
                             json_t *tasks /* takes ownership */);
/** Returns the task list of a heartbeat with the task's first attempt in this state. */
json_t *scenario_task_in_state(const char *state);
/** Returns the number of the current epoch in the store. */
guint64 scenario_epoch(const Fixture *fixture);
/** Makes n1 join or leave, and waits until n0 has written the next epoch. */
void scenario_change_epoch(Scenario *scenario, gboolean has_n1);
/**
 * Returns a peer message in which n1 releases the task. The evidence (@kind: "absent" or
 * "returned") was observed in the epoch @evidence_epoch.
 */
json_t *scenario_release_message(const Scenario *scenario, guint64 epoch, const char *kind,
                                 guint64 evidence_epoch);
/** Returns the same message from a version before 0.4, without evidence. */
json_t *scenario_legacy_release_message(guint64 epoch);
/** Returns whether the task's first attempt is still recorded as assigned. */
gboolean scenario_first_attempt_is_assigned(const Scenario *scenario);
/** Writes, as another node, a record that assigns the task's second attempt to the machine. */
void scenario_assign_second_attempt(Fixture *fixture, const char *machine);
