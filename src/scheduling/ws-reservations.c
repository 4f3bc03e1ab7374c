/* Reservations: capacity that is being freed for a job by stopping less urgent tasks. */
#include "scheduling/ws-scheduling.h"

#include "scheduling/ws-preempt.h"
#include "scheduling/ws-queue.h"
#include "membership/ws-membership.h"
#include "workers/ws-workers.h"
#include "storage/ws-gang-phase.h"

/* A reservation expires this long after its last renewal. Must be longer than it takes to request,
   carry out, report and record a stop, including a retry of the request. */
#define RESERVATION_LIFETIME_MS 5000
/* A reservation whose number of tasks is unchanged is renewed only if its last renewal is at least
   this old, so that not every plan sends a message to the leader. */
#define RESERVATION_RENEWAL_AGE_MS 1500

/* Capacity reserved for tasks of one job, on one machine or within its team's limit. */
typedef struct {
  WsJobIndex job;
  WsMachineIndex machine; /* WS_NO_MACHINE: within the team's limit, on any machine */
  guint tasks;            /* number of tasks of the job that the capacity is for */
  gint64 expiry_ms;
} Reservation;

struct _WsReservations {
  GArray *entries; /* of Reservation */
};

WsReservations *
ws_reservations_new(void)
{
  WsReservations *reservations = g_new0(WsReservations, 1);
  reservations->entries = g_array_new(FALSE, FALSE, sizeof(Reservation));
  return reservations;
}

void
ws_reservations_free(WsReservations *reservations)
{
  g_array_unref(reservations->entries);
  g_free(reservations);
}

gboolean
ws_reservations_exist(const WsCore *core)
{
  return core->reservations->entries->len > 0;
}

void
ws_reservations_clear(WsCore *core)
{
  g_array_set_size(core->reservations->entries, 0);
}

static Reservation *
find_entry(const WsCore *core, WsJobIndex job, WsMachineIndex machine)
{
  GArray *entries = core->reservations->entries;
  for (guint i = 0; i < entries->len; i++) {
    Reservation *entry = &g_array_index(entries, Reservation, i);
    if (entry->job == job && entry->machine == machine)
      return entry;
  }
  return NULL;
}

static void
drop_expired(WsCore *core)
{
  GArray *entries = core->reservations->entries;
  for (guint i = entries->len; i-- > 0;)
    if (core->now_ms >= g_array_index(entries, Reservation, i).expiry_ms)
      g_array_remove_index_fast(entries, i);
}

void
ws_reservations_renew(WsCore *core, const WsJob *job, WsMachineIndex machine, guint tasks)
{
  drop_expired(core);
  Reservation *entry = find_entry(core, job->index, machine);
  gboolean was_renewed_recently
      = entry != NULL && entry->tasks == tasks
        && entry->expiry_ms - core->now_ms > RESERVATION_LIFETIME_MS - RESERVATION_RENEWAL_AGE_MS;
  if (was_renewed_recently)
    return;
  if (entry == NULL) {
    Reservation added = { .job = job->index, .machine = machine };
    g_array_append_val(core->reservations->entries, added);
    entry = find_entry(core, job->index, machine);
  }
  entry->tasks = tasks;
  entry->expiry_ms = core->now_ms + RESERVATION_LIFETIME_MS;
  if (!ws_is_leader(core))
    ws_peer_request_reservation(core, job, machine, tasks);
}

static void
consume_entry(WsCore *core, WsJobIndex job, WsMachineIndex machine)
{
  Reservation *entry = find_entry(core, job, machine);
  if (entry == NULL)
    return;
  entry->tasks--;
  if (entry->tasks == 0)
    entry->expiry_ms = core->now_ms;
}

void
ws_reservations_consume(WsCore *core, const WsJob *job, WsMachineIndex machine)
{
  consume_entry(core, job->index, machine);
  consume_entry(core, job->index, WS_NO_MACHINE);
  drop_expired(core);
}

/* Whether assignments of @other must respect the reservations of @job. An overdue gang also has
   precedence over jobs that it may not preempt: it needs many slots at the same time, and would
   never get them if equally urgent tasks took each slot that becomes free. */
static gboolean
has_precedence(const WsCore *core, const WsJob *job, const WsJob *other, guint other_tasks)
{
  if (ws_preempt_allowed_at_task_count(core, job, other, other_tasks))
    return TRUE;
  gboolean is_older = ws_queue_is_overdue(core, other) && other->accepted_ms <= job->accepted_ms;
  return ws_job_is_gang(job) && ws_queue_is_overdue(core, job)
         && other->spec->priority != WS_CRITICAL && !is_older;
}

/* Returns the number of tasks for which the entry still reserves capacity against assignments of
   @other. */
static guint
count_reserved_tasks(const WsCore *core, const Reservation *entry, const WsJob *other,
                     guint other_tasks)
{
  const WsJob *job = ws_replica_job(core->replica, entry->job);
  if (core->now_ms >= entry->expiry_ms || job == other || job->state != WS_JOB_ACTIVE
      || job->spec == NULL || ws_cancellations_has_job(core, job)
      || !has_precedence(core, job, other, other_tasks))
    return 0;
  guint assigned_or_done = job->completed_count + job->assigned_count;
  return MIN(entry->tasks, job->tasks - MIN(assigned_or_done, job->tasks));
}

gboolean
ws_reservations_allow(const WsCore *core, const WsJob *job, guint assigned_tasks,
                      WsMachineIndex machine, const WsResources *machine_free,
                      const WsResources *team_use)
{
  const GArray *entries = core->reservations->entries;
  const WsResources nothing = { 0 };
  WsResources reserved_on_machine = { 0 }, use = *team_use;
  for (guint i = 0; i < entries->len; i++) {
    const Reservation *entry = &g_array_index(entries, Reservation, i);
    guint tasks = count_reserved_tasks(core, entry, job, assigned_tasks);
    if (tasks == 0)
      continue;
    const WsJob *reserving_job = ws_replica_job(core->replica, entry->job);
    if (entry->machine == machine)
      ws_resources_add(&reserved_on_machine, &reserving_job->spec->need, tasks);
    else if (entry->machine == WS_NO_MACHINE && reserving_job->team == job->team)
      ws_resources_add(&use, &reserving_job->spec->need, tasks);
  }
  return ws_resources_fit(&reserved_on_machine, machine_free)
         && ws_team_has_capacity(core->settings, job->team, &use, &nothing);
}
