/* Releases from nodes of versions before 0.4, which carry no evidence. Each is treated as a hint
   that an attempt no longer runs, and is confirmed by the status of the worker or by terminating
   the machine. */
#include "commit/ws-commit.h"

#include "storage/ws-mark-reasons.h"

#define STATUS_PROBE_TIMEOUT_MS 1000
/* Minimum time between two probes for the same hint. */
#define STATUS_PROBE_INTERVAL_MS 1500
/* Versions before 0.4 repeat a release every 2 s. A release that is repeated after a longer pause
   than this is a new hint. */
#define MAX_HINT_REPEAT_GAP_MS 5000

typedef struct {
  WsRelease release;
  gint64 first_received_ms; /* when the release was first received, without a longer pause since */
  gint64 last_received_ms;  /* when the release was last received */
  gint64 last_probed_ms;    /* when the worker was last probed; 0: never */
} Hint;

struct _WsLegacyReleases {
  GArray *hints; /* of Hint */
};

WsLegacyReleases *
ws_legacy_releases_new(void)
{
  WsLegacyReleases *legacy_releases = g_new0(WsLegacyReleases, 1);
  legacy_releases->hints = g_array_new(FALSE, FALSE, sizeof(Hint));
  return legacy_releases;
}

void
ws_legacy_releases_free(WsLegacyReleases *legacy_releases)
{
  g_array_unref(legacy_releases->hints);
  g_free(legacy_releases);
}

static Hint *
find_or_add_hint(WsCore *core, const WsRelease *release)
{
  GArray *hints = core->legacy_releases->hints;
  for (guint i = 0; i < hints->len; i++) {
    Hint *hint = &g_array_index(hints, Hint, i);
    if (hint->release.job == release->job && hint->release.task == release->task
        && hint->release.attempt == release->attempt)
      return hint;
  }
  Hint hint = { .release = *release };
  g_array_append_val(hints, hint);
  return &g_array_index(hints, Hint, hints->len - 1);
}

static void
add_with_evidence(WsCore *core, const WsRelease *hint, const WsMachine *machine,
                  WsEvidenceKind kind)
{
  WsRelease release = *hint;
  release.evidence = ws_evidence_new(core->replica, machine, kind);
  ws_releases_add(core, &release);
}

static gboolean
reports_exit(const WsCore *core, const WsHeartbeat *heartbeat, const WsRelease *release)
{
  const WsTaskStatus *task = ws_heartbeat_find_task(
      heartbeat, ws_replica_job(core->replica, release->job)->id, release->task, release->attempt);
  return task != NULL && task->state == WS_TASK_EXITED;
}

/* Handles the status of a probed worker. If the status has a fencing token of the epoch, the exit
   of an attempt in it is evidence, since the worker reports the exit until the attempt is released.
 */
static void
on_worker_status(WsCore *core, guint status, const json_t *body, gpointer data)
{
  const WsMachine *machine = ws_replica_machine(core->replica, GPOINTER_TO_UINT(data));
  g_autoptr(WsHeartbeat) heartbeat
      = ws_heartbeat_parse_status_response(status, body, machine->name);
  if (heartbeat == NULL || !ws_epoch_has_token(&core->replica->epoch, heartbeat->fencing_token)
      || !ws_is_leader(core))
    return;
  const GArray *hints = core->legacy_releases->hints;
  for (guint i = 0; i < hints->len; i++) {
    const Hint *hint = &g_array_index(hints, Hint, i);
    const WsAssignment *assignment = ws_release_assignment(core->replica, &hint->release);
    if (assignment != NULL && assignment->machine == machine->index
        && reports_exit(core, heartbeat, &hint->release))
      add_with_evidence(core, &hint->release, machine, WS_EVIDENCE_EXITED);
  }
}

static void
probe_worker(WsCore *core, Hint *hint, const WsMachine *machine)
{
  if (machine->worker.endpoint == NULL
      || (hint->last_probed_ms > 0
          && core->now_ms - hint->last_probed_ms < STATUS_PROBE_INTERVAL_MS))
    return;
  hint->last_probed_ms = core->now_ms;
  ws_call(core, "GET", machine->worker.endpoint, "/status", NULL, STATUS_PROBE_TIMEOUT_MS,
          on_worker_status, GUINT_TO_POINTER(machine->index));
}

void
ws_legacy_releases_add(WsCore *core, const WsRelease *release)
{
  const WsAssignment *assignment = ws_release_assignment(core->replica, release);
  if (assignment == NULL)
    return;
  WsMachine *machine = ws_replica_machine(core->replica, assignment->machine);
  if (release->is_completed || assignment->assigned_version > machine->owner_since_epoch_version) {
    add_with_evidence(core, release, machine,
                      release->is_completed ? WS_EVIDENCE_EXITED : WS_EVIDENCE_ABSENT);
    return;
  }
  if (machine->owner == core->settings->self)
    return;
  Hint *hint = find_or_add_hint(core, release);
  if (core->now_ms - hint->last_received_ms > MAX_HINT_REPEAT_GAP_MS)
    hint->first_received_ms = core->now_ms;
  hint->last_received_ms = core->now_ms;
  if ((double)(core->now_ms - hint->first_received_ms) > core->settings->lease_s * 1000.0)
    core->handlers->request_termination(core, machine, WS_MARK_REASON_LEGACY_RELEASE, TRUE);
  else
    probe_worker(core, hint, machine);
}

void
ws_legacy_releases_begin_epoch(WsCore *core)
{
  GArray *hints = core->legacy_releases->hints;
  for (guint i = hints->len; i-- > 0;)
    if (ws_release_assignment(core->replica, &g_array_index(hints, Hint, i).release) == NULL)
      g_array_remove_index_fast(hints, i);
}
