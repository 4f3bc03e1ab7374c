/* Releases and their evidence, and their encoding in messages between nodes. */
#include "storage/ws-evidence.h"

#include <string.h>

/* Positions in the array that encodes a release in a message between nodes. Versions before
   0.4 use only the items before ITEM_MACHINE: job, task, attempt, and whether the task is
   completed. */
#define ITEM_MACHINE 4
#define ITEM_KIND 5
#define ITEM_EPOCH 6
#define ITEM_INCARNATION 7

static const char *const KIND_NAMES[] = { "absent", "exited", "returned" };

WsEvidence
ws_evidence_new(const WsReplica *replica, const WsMachine *machine, WsEvidenceKind kind)
{
  return (WsEvidence){ .kind = kind,
                       .machine = machine->index,
                       .epoch = replica->epoch.number,
                       .incarnation = machine->worker.incarnation,
                       .sequence = machine->worker.sequence };
}

const WsAssignment *
ws_release_assignment(const WsReplica *replica, const WsRelease *release)
{
  const WsAssignment *assignment
      = ws_job_assignment(ws_replica_job(replica, release->job), release->task);
  return assignment != NULL && assignment->attempt == release->attempt ? assignment : NULL;
}

gboolean
ws_release_is_valid(const WsReplica *replica, const WsRelease *release)
{
  const WsEvidence *evidence = &release->evidence;
  const WsAssignment *assignment = ws_release_assignment(replica, release);
  if (assignment == NULL || assignment->machine != evidence->machine)
    return FALSE;
  if (release->is_completed || evidence->kind == WS_EVIDENCE_RETURNED)
    return TRUE;
  return evidence->epoch >= ws_replica_machine(replica, evidence->machine)->owner_since_epoch;
}

char *
ws_release_describe(const WsReplica *replica, const WsRelease *release)
{
  const WsEvidence *evidence = &release->evidence;
  return g_strdup_printf("%s/%u attempt %" G_GUINT64_FORMAT " %s %s (epoch %" G_GUINT64_FORMAT
                         ", incarnation %" G_GUINT64_FORMAT ", heartbeat %" G_GUINT64_FORMAT ")",
                         ws_replica_job(replica, release->job)->id, release->task, release->attempt,
                         release->is_completed ? "done:" : KIND_NAMES[evidence->kind],
                         ws_replica_machine(replica, evidence->machine)->name, evidence->epoch,
                         evidence->incarnation, evidence->sequence);
}

json_t *
ws_release_encode(const WsReplica *replica, const WsRelease *release)
{
  const WsEvidence *evidence = &release->evidence;
  return json_pack("[s, i, I, b, s, s, I, I]", ws_replica_job(replica, release->job)->id,
                   (int)release->task, (json_int_t)release->attempt, release->is_completed,
                   ws_replica_machine(replica, evidence->machine)->name, KIND_NAMES[evidence->kind],
                   (json_int_t)evidence->epoch, (json_int_t)evidence->incarnation);
}

static gboolean
parse_kind(const char *name, WsEvidenceKind *kind)
{
  for (guint k = 0; name != NULL && k < G_N_ELEMENTS(KIND_NAMES); k++)
    if (strcmp(KIND_NAMES[k], name) == 0) {
      *kind = (WsEvidenceKind)k;
      return TRUE;
    }
  return FALSE;
}

gboolean
ws_evidence_parse(const WsReplica *replica, const json_t *item, WsEvidence *evidence)
{
  const char *name, *kind;
  *evidence = (WsEvidence){ 0 };
  if (!ws_json_string_at(item, ITEM_MACHINE, &name) || !ws_json_string_at(item, ITEM_KIND, &kind)
      || !parse_kind(kind, &evidence->kind)
      || !ws_json_uint64_at(item, ITEM_EPOCH, &evidence->epoch)
      || !ws_json_uint64_at(item, ITEM_INCARNATION, &evidence->incarnation))
    return FALSE;
  const WsMachine *machine = ws_replica_find_machine(replica, name);
  if (machine == NULL)
    return FALSE;
  evidence->machine = machine->index;
  return TRUE;
}
