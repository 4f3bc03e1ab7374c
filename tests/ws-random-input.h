/**
 * Generated inputs for tests. Each case has its own seed, which is written to the test log.
 */
#pragma once

#include "protocol/ws-job-spec.h"

/** Checks one generated case. */
typedef void (*WsCase)(GRand *rand);

/** Checks @count generated cases, with the seeds from @first on. */
static inline void
ws_check_cases(guint count, guint32 first, WsCase check)
{
  for (guint i = 0; i < count; i++) {
    g_test_message("seed %u", first + i);
    g_autoptr(GRand) rand = g_rand_new_with_seed(first + i);
    check(rand);
  }
}

/** Draws a number of at most three decimals from 0 to below @limit. */
static inline double
ws_gen_decimal(GRand *rand, double limit)
{
  return g_rand_int_range(rand, 0, (gint32)(limit * 1000)) / 1000.0;
}

/** Generates a valid submission. */
static inline json_t *
ws_gen_submission(GRand *rand)
{
  static const char *const KINDS[] = { "sweep", "service" };
  static const char *const PRIORITIES[] = { "critical", "urgent", "standard", "best_effort" };
  g_autofree char *id = g_strdup_printf("req-%06d", g_rand_int_range(rand, 0, 1000000));
  json_t *m = json_object();
  json_object_set_new(m, "id", json_string(id));
  json_object_set_new(m, "trida", json_string("train"));
  json_object_set_new(m, "dilna", json_string("vision"));
  json_object_set_new(m, "druh", json_string(KINDS[g_rand_int_range(rand, 0, 2)]));
  json_object_set_new(m, "prednost", json_string(PRIORITIES[g_rand_int_range(rand, 0, 4)]));
  json_object_set_new(m, "kusy", json_integer(g_rand_int_range(rand, 1, 100001)));
  json_object_set_new(m, "cpus", json_real(ws_gen_decimal(rand, 96.0)));
  json_object_set_new(m, "accelerators", json_real(ws_gen_decimal(rand, 8.0)));
  json_object_set_new(m, "mem_gb", json_real(ws_gen_decimal(rand, 700.0)));
  json_object_set_new(m, "obraz", json_string("img-07"));
  json_object_set_new(m, "pull_gb", json_real(ws_gen_decimal(rand, 20.0)));
  json_object_set_new(m, "typy", g_rand_boolean(rand) ? json_null() : json_pack("[s]", "g8"));
  json_object_set_new(m, "hala", g_rand_boolean(rand) ? json_null() : json_string("a"));
  json_object_set_new(m, "one_zone", json_boolean(g_rand_boolean(rand)));
  json_object_set_new(m, "scatter", json_boolean(g_rand_boolean(rand)));
  json_object_set_new(m, "vypujcky", json_boolean(g_rand_boolean(rand)));
  json_object_set_new(m, "odhad_s", json_real(ws_gen_decimal(rand, 500.0)));
  json_object_set_new(m, "zaloha_s", json_real(ws_gen_decimal(rand, 60.0)));
  json_object_set_new(m, "ulozeni_s", json_real(ws_gen_decimal(rand, 10.0)));
  json_object_set_new(m, "termin_s",
                      g_rand_boolean(rand) ? json_null() : json_real(ws_gen_decimal(rand, 900.0)));
  return m;
}
