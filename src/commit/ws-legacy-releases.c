/* Releases from versions before 0.4, which come without evidence: each is a hint that an attempt is
   gone, and is confirmed by its worker's status or by terminating the machine. */
#include "commit/ws-commit.h"

#include "storage/ws-mark-reasons.h"

#define STATUS_TIMEOUT_MS 1000
#define STATUS_RETRY_MS 1500
/* Those versions repeat a release every 2 s; after a longer pause than this it is a new hint. */
#define HINT_REPEAT_MS 5000

typedef struct {
  WsRelease release;
  gint64 since_ms;  /* when it first arrived */
  gint64 last_ms;   /* when it was last repeated */
  gint64 probed_ms; /* when its worker was last probed */
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
shows_exit(const WsCore *core, const WsHeartbeat *heartbeat, const WsRelease *release)
{
  const WsTaskStatus *task = ws_heartbeat_find_task(
      heartbeat, ws_replica_job(core->replica, release->job)->id, release->task, release->attempt);
  return task != NULL && task->state == WS_TASK_EXITED;
}

/* An exit in a status under the present fencing token is evidence: the worker keeps it until the
   attempt is released. */
static void
on_status(WsCore *core, guint status, const json_t *body, gpointer data)
{
  const WsMachine *machine = ws_replica_machine(core->replica, GPOINTER_TO_UINT(data));
  g_autoptr(WsHeartbeat) heartbeat = ws_heartbeat_parse_status_reply(status, body, machine->name);
  if (heartbeat == NULL || heartbeat->fencing_token != core->replica->epoch.number
      || !ws_is_leader(core))
    return;
  const GArray *hints = core->legacy_releases->hints;
  for (guint i = 0; i < hints->len; i++) {
    const Hint *hint = &g_array_index(hints, Hint, i);
    const WsAssignment *assignment = ws_release_assignment(core->replica, &hint->release);
    if (assignment != NULL && assignment->machine == machine->index
        && shows_exit(core, heartbeat, &hint->release))
      add_with_evidence(core, &hint->release, machine, WS_EVIDENCE_EXITED);
  }
}

static void
probe_worker(WsCore *core, Hint *hint, const WsMachine *machine)
{
  if (machine->worker.endpoint == NULL
      || (hint->probed_ms > 0 && core->now - hint->probed_ms < STATUS_RETRY_MS))
    return;
  hint->probed_ms = core->now;
  ws_call(core, "GET", machine->worker.endpoint, "/status", NULL, STATUS_TIMEOUT_MS, on_status,
          GUINT_TO_POINTER(machine->index));
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
  if (core->now - hint->last_ms > HINT_REPEAT_MS)
    hint->since_ms = core->now;
  hint->last_ms = core->now;
  if ((double)(core->now - hint->since_ms) > core->settings->lease_s * 1000.0)
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
