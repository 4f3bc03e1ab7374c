/**
 * What a controller reads from others: sound texts and malformed ones, for each reader. The tests
 * themselves are in input/.
 */
#include "input/input.h"
#include "ws-suite.h"

static const WsTest TESTS[] = {
  { "/input/submission-with-large-unknown-integer-is-accepted",
    test_submission_with_large_unknown_integer_is_accepted },
  { "/input/heartbeat-with-large-unknown-number-is-answered",
    test_heartbeat_with_large_unknown_number_is_answered },
  { "/input/heartbeat-with-largest-integers-is-answered",
    test_heartbeat_with_largest_integers_is_answered },
  { "/input/unreadable-answer-of-owner-is-replaced", test_unreadable_answer_of_owner_is_replaced },
  { "/input/answer-of-owner-is-passed-on-whole", test_answer_of_owner_is_passed_on_whole },
  { "/input/same-job-in-another-spelling-is-one-job",
    test_same_job_in_another_spelling_is_one_job },
  { "/input/catalog-with-large-unknown-field-is-stored-without-it",
    test_catalog_with_large_unknown_field_is_stored_without_it },
  { "/input/sound-unknown-values-change-nothing", test_sound_unknown_values_change_nothing },
  { "/input/unknown-names-change-nothing", test_unknown_names_change_nothing },
  { "/input/random-unknown-values-change-nothing", test_random_unknown_values_change_nothing },
  { "/input/deep-unknown-values-change-nothing", test_deep_unknown_values_change_nothing },
  { "/input/deepest-reply-changes-nothing", test_deepest_reply_changes_nothing },
  { "/input/white-space-and-escaped-names-change-nothing",
    test_white_space_and_escaped_names_change_nothing },
  { "/input/malformed-values-are-refused", test_malformed_values_are_refused },
  { "/input/malformed-texts-are-refused", test_malformed_texts_are_refused },
  { "/input/malformed-text-error-has-place", test_malformed_text_error_has_place },
  { "/input/submission-field-of-wrong-kind-is-named",
    test_submission_field_of_wrong_kind_is_named },
  { "/input/heartbeat-field-of-wrong-kind-is-named", test_heartbeat_field_of_wrong_kind_is_named },
  { "/input/amounts-are-read-in-any-spelling", test_amounts_are_read_in_any_spelling },
  { "/input/large-integers-are-read-and-written-exactly",
    test_large_integers_are_read_and_written_exactly },
  { "/input/setting-of-wrong-kind-is-named", test_setting_of_wrong_kind_is_named },
  { "/input/damaged-store-reply-is-refused-whole", test_damaged_store_reply_is_refused_whole },
  { "/input/damaged-entry-costs-only-that-entry", test_damaged_entry_costs_only_that_entry },
  { "/input/damaged-catalog-is-refused-whole", test_damaged_catalog_is_refused_whole },
  { "/input/damaged-record-is-refused-whole", test_damaged_record_is_refused_whole },
};

int
main(int argc, char **argv)
{
  ws_suite_init(&argc, &argv);
  ws_suite_add(TESTS, G_N_ELEMENTS(TESTS));
  input_readers_init();
  int status = g_test_run();
  input_readers_clear();
  return status;
}
