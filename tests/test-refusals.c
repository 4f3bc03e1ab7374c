/**
 * The log lines and counters of messages that a controller can't read.
 */
#include "sim/fixture.h"
#include "ws-suite.h"

#include <string.h>

/* Refusals are logged at most once in this time for each sender. */
#define SENDER_LOG_INTERVAL_S 10.0
#define COUNTS_LOG_INTERVAL_S 30.0

static GPtrArray *lines; /* the log lines since the test began */

static GLogWriterOutput
record_line(GLogLevelFlags level, const GLogField *fields, gsize count, gpointer data)
{
  (void)level;
  (void)data;
  for (gsize i = 0; i < count; i++)
    if (strcmp(fields[i].key, "MESSAGE") == 0)
      g_ptr_array_add(lines, g_strdup(fields[i].value));
  return G_LOG_WRITER_HANDLED;
}

/* Returns the number of lines that contain all of the texts, which end with NULL. */
static guint
count_lines(const char *const *texts)
{
  guint found = 0;
  for (guint i = 0; i < lines->len; i++) {
    gboolean has_all = TRUE;
    for (const char *const *text = texts; *text != NULL; text++)
      has_all = has_all && strstr(g_ptr_array_index(lines, i), *text) != NULL;
    found += has_all ? 1 : 0;
  }
  return found;
}

#define COUNT_LINES(...) count_lines((const char *const[]){ __VA_ARGS__, NULL })

static void
submit(Fixture *fixture, const char *sender, const char *text)
{
  fixture_request_text(fixture, WS_LISTENER_API, sender, "POST", "/api/jobs", text, strlen(text));
}

static void
test_each_sender_is_logged_once_in_an_interval(void)
{
  g_ptr_array_set_size(lines, 0);
  Fixture *fixture = fixture_new(TRUE);
  submit(fixture, "10.0.0.7", "{\"id\":\"req-1\",secret}");
  submit(fixture, "10.0.0.7", "{\"id\":\"req-1\",secret}");
  submit(fixture, "10.0.0.8", "{\"id\":7}");
  g_assert_cmpuint(COUNT_LINES("refused (submissions)", "10.0.0.7", "21 bytes"), ==, 1);
  g_assert_cmpuint(COUNT_LINES("refused (submissions)", "10.0.0.8", "id is missing or invalid"), ==,
                   1);
  g_assert_cmpuint(COUNT_LINES("secret"), ==, 0);
  fixture_run(fixture, SENDER_LOG_INTERVAL_S + 0.1);
  submit(fixture, "10.0.0.7", "[1");
  g_assert_cmpuint(COUNT_LINES("10.0.0.7", "1 more not logged"), ==, 1);
  fixture_free(fixture);
}

static void
test_refusals_are_counted_by_reader_and_reason(void)
{
  g_ptr_array_set_size(lines, 0);
  Fixture *fixture = fixture_new(TRUE);
  fixture_run(fixture, COUNTS_LOG_INTERVAL_S);
  for (guint i = 0; i < 3; i++)
    submit(fixture, "10.0.0.7", "no json");
  fixture_request_text(fixture, WS_LISTENER_API, "10.0.0.9", "POST", "/v1/report", "{}", 2);
  fixture_request_text(fixture, WS_LISTENER_PEERS, "10.0.0.2", "POST", "/gossip", "{", 1);
  fixture_run(fixture, COUNTS_LOG_INTERVAL_S + 0.1);
  g_assert_cmpuint(COUNT_LINES("messages refused in", "3 submissions (not a JSON object)",
                               "1 heartbeats (invalid field)",
                               "1 peer requests (not a JSON object)"),
                   ==, 1);
  g_assert_cmpuint(COUNT_LINES("peer requests (invalid field)"), ==, 0); /* counted once */
  fixture_free(fixture);
}

/* Sends a cloud reply that isn't JSON, and a gossip answer with an unreadable field. */
static void
test_refused_replies_are_counted_once(void)
{
  g_ptr_array_set_size(lines, 0);
  Fixture *fixture = fixture_new(TRUE);
  fixture->catalog_text = "no json";
  fixture->gossip_text = "{\"node\":\"n1\",\"epoch\":1e400}";
  fixture_restart(fixture);
  fixture_run(fixture, COUNTS_LOG_INTERVAL_S + 1.0);
  g_assert_cmpuint(COUNT_LINES("messages refused in", "cloud replies (not a JSON object)"), >, 0);
  g_assert_cmpuint(COUNT_LINES("cloud replies (invalid field)"), ==, 0);
  g_assert_cmpuint(COUNT_LINES("messages refused in", "peer replies (invalid field)"), >, 0);
  g_assert_cmpuint(COUNT_LINES("peer requests"), ==, 0);
  fixture_free(fixture);
}

static const WsTest TESTS[] = {
  { "/refusals/each-sender-is-logged-once-in-an-interval",
    test_each_sender_is_logged_once_in_an_interval },
  { "/refusals/counted-by-reader-and-reason", test_refusals_are_counted_by_reader_and_reason },
  { "/refusals/replies-are-counted-once", test_refused_replies_are_counted_once },
};

int
main(int argc, char **argv)
{
  ws_suite_init(&argc, &argv);
  lines = g_ptr_array_new_with_free_func(g_free);
  g_log_set_writer_func(record_line, NULL, NULL);
  ws_suite_add(TESTS, G_N_ELEMENTS(TESTS));
  int status = g_test_run();
  g_ptr_array_unref(lines);
  return status;
}
