/**
 * Measures how long it takes to parse and to write usual messages. Not a test: it is run by hand,
 * in a release build, on an idle machine.
 */
#include "protocol/ws-json.h"

#include <string.h>

#define RUN_US G_GINT64_CONSTANT(1000000)
#define PAGE_KEYS 1000
#define TASKS_OF_FULL_MACHINE 200

static char *
heartbeat_text(guint tasks)
{
  GString *text = g_string_new(
      "{\"stroj\":\"m-000231\",\"endpoint\":\"10.1.0.232:9000\",\"typ\":\"g8\",\"hala\":\"a\","
      "\"vypujcky\":true,\"smena\":1,\"poradi\":88,\"pecet\":41,\"vypoved_s\":null,\"kusy\":[");
  for (guint i = 0; i < tasks; i++)
    g_string_append_printf(text, "%s{\"kus\":\"req-000412/%u\",\"pokus\":%u,\"stav\":\"running\"}",
                           i > 0 ? "," : "", i, i + 1);
  g_string_append(text, "]}");
  return g_string_free(text, FALSE);
}

static char *
submission_text(void)
{
  return g_strdup("{\"id\":\"req-000412\",\"trida\":\"train\",\"dilna\":\"vision\",\"druh\":"
                  "\"sweep\",\"prednost\":\"urgent\",\"kusy\":16,\"cpus\":8.0,\"accelerators\":1.0,"
                  "\"mem_gb\":64.0,\"obraz\":\"img-07\",\"pull_gb\":6.2,\"typy\":[\"g8\"],"
                  "\"hala\":null,\"one_zone\":true,\"scatter\":false,\"vypujcky\":true,"
                  "\"odhad_s\":240.0,\"zaloha_s\":30.0,\"ulozeni_s\":4.0,\"termin_s\":900.0}");
}

static char *
page_text(void)
{
  g_autofree char *spec = submission_text();
  GString *text = g_string_new("{\"pairs\":[");
  for (guint i = 0; i < PAGE_KEYS; i++)
    g_string_append_printf(text,
                           "%s{\"k\":\"w/job/req-%06u\",\"value\":{\"s\":\"active\",\"at\":"
                           "1733443200000,\"home\":\"uzel-1\",\"spec\":%s},\"verze\":%u}",
                           i > 0 ? "," : "", i, spec, i + 7);
  g_string_append(text, "],\"more\":true,\"zmena\":4711}");
  return g_string_free(text, FALSE);
}

/* Prints the mean time of parsing and of writing the text, which it frees. */
static void
measure(const char *name, char *text)
{
  gsize length = strlen(text);
  guint parsed = 0, written = 0;
  gint64 begin_us = g_get_monotonic_time(), now_us = begin_us;
  for (; now_us - begin_us < RUN_US; now_us = g_get_monotonic_time(), parsed++) {
    g_autoptr(json_t) value = ws_json_parse(text, length);
    g_assert(value != NULL);
  }
  double parse_us = (double)(now_us - begin_us) / parsed;
  g_autoptr(json_t) value = ws_json_parse(text, length);
  begin_us = now_us = g_get_monotonic_time();
  for (; now_us - begin_us < RUN_US; now_us = g_get_monotonic_time(), written++) {
    g_autofree char *copy = ws_json_serialize(value);
    g_assert(copy != NULL);
  }
  g_print("%-24s %8zu bytes: parsed in %9.2f us, written in %9.2f us\n", name, length, parse_us,
          (double)(now_us - begin_us) / written);
  g_free(text);
}

int
main(void)
{
  measure("heartbeat, 2 tasks", heartbeat_text(2));
  measure("heartbeat, 200 tasks", heartbeat_text(TASKS_OF_FULL_MACHINE));
  measure("submission", submission_text());
  measure("page of 1000 jobs", page_text());
  return 0;
}
