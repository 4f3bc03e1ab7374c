/**
 * Tests of the /evidence group that are defined outside test-evidence.c.
 */
#pragma once

/* validity.c */
void test_release_is_valid_exactly_while_owner_is_same(void);
void test_release_encoding_round_trip(void);

/* lease-loss.c */
void test_cluster_recovers_from_repeated_lease_loss(void);
