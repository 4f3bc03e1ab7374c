/* Admission control: whether a submitted job could ever run here. */
#include "api/ws-admission.h"

#include "storage/ws-constraints.h"

#include <string.h>

/* What a job's record needs beside its submission. */
#define JOB_RECORD_OVERHEAD_BYTES 160

/* Whether the job's record fits into one value of the store, also with what is added to it later.
 */
static gboolean
fits_record(const WsCore *core, const WsJobSpec *spec)
{
  g_autoptr(json_t) value = ws_job_spec_encode(spec);
  g_autofree char *text = ws_json_serialize(value);
  return strlen(text) + JOB_RECORD_OVERHEAD_BYTES <= core->settings->kv_max_record_bytes;
}

/* Whether all tasks of a gang could ever run at once. */
static gboolean
can_run_at_once(const WsCore *core, const WsJobSpec *spec)
{
  if (spec->kind != WS_KIND_GANG)
    return TRUE;
  gboolean is_contradictory = spec->needs_one_zone && spec->must_spread && spec->tasks > 1;
  guint tasks_in_chunk = MIN(spec->tasks, WS_CHUNK_TASKS);
  return !is_contradictory && tasks_in_chunk <= ws_chunk_free_slots(NULL, core->replica);
}

static const WsTeamSettings *
team_settings(const WsCore *core, WsTeamIndex team)
{
  return g_ptr_array_index(core->settings->teams, team);
}

static gboolean
is_within_limit(const WsJobSpec *spec, const WsTeamSettings *team)
{
  WsResources need = { 0 };
  ws_resources_add(&need, &spec->need, spec->kind == WS_KIND_ARRAY ? 1 : (gint64)spec->tasks);
  return ws_team_is_within_limit(team, &need);
}

static gboolean
fits_some_type(const WsCore *core, const WsJobSpec *spec)
{
  for (WsTypeIndex t = 0; t < core->replica->catalog->len; t++) {
    const WsType *type = ws_replica_type(core->replica, t);
    if (ws_constraints_task_fits_type(spec, type))
      return TRUE;
  }
  return FALSE;
}

const char *
ws_admission_rejection_reason(const WsCore *core, const WsJobSpec *spec)
{
  WsTeamIndex team = ws_replica_find_team(core->replica, spec->team);
  if (team == WS_NO_TEAM)
    return "unknown team";
  if (spec->zone != NULL && ws_replica_find_zone(core->replica, spec->zone) == WS_NO_ZONE)
    return "unknown zone";
  if (!fits_some_type(core, spec))
    return "a task fits no allowed machine type";
  if (!fits_record(core, spec))
    return "is longer than the service can store";
  if (!can_run_at_once(core, spec))
    return "its tasks can't all run at the same time";
  if (!is_within_limit(spec, team_settings(core, team)))
    return "needs more than the team's limit";
  return NULL;
}
