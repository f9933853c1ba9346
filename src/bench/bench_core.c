/* SPDX-License-Identifier: BSD-3-Clause */
/* bench_core: scheduling decisions a second on one core. A decision is an ask that is granted and later
 * released. With a queue, engines are full: each release lets one waiting ask in, and a new ask joins. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>
#include "bayhoist/idempotency.h"
#include "bayhoist/pool.h"
#include "clock.h"
#include "frame.h"
#include "ledger.h"
#include "queue.h"

#define DECISIONS 400000
#define KV_BYTES UINT64_C(1000000)
#define TOKENS 2000
#define ACCOUNTS 1600
#define RING 65536
#define ONCE_ENTRIES 100000

typedef struct {
	BH__PoolPort port;    /* first */
	uint64_t grant[RING]; /* granted and not yet released, oldest first */
	uint64_t head;
	uint64_t tail;
	uint64_t refused;
} Bench;

static void on_grant_(BH__PoolPort *port, const BH__Grant *g)
{
	Bench *b = (Bench *)port;
	b->grant[b->tail++ % RING] = g->grant_id;
}

static void on_refuse_(BH__PoolPort *port, const BH__Ask *ask, BH__Reason reason, uint64_t retry_after_ms)
{
	(void)ask;
	(void)reason;
	(void)retry_after_ms;
	((Bench *)port)->refused++;
}

static void on_orphan_(BH__PoolPort *port, uint64_t endpoint_id, uint64_t attempt_id, uint64_t owner_node,
					   uint64_t owner_boot)
{
	(void)port;
	(void)endpoint_id;
	(void)attempt_id;
	(void)owner_node;
	(void)owner_boot;
}

static void ask_(BH__Pool *p, uint64_t id, uint64_t now_us)
{
	BH__Ask a = {.ask_id = id,
				 .node_id = 1 + id % 360,
				 .boot_id = 1,
				 .account_id = 1 + id % ACCOUNTS,
				 .weight = 1,
				 .prompt_tokens = TOKENS,
				 .max_tokens = 100,
				 .kv_bytes = TOKENS,
				 .deadline_us = 3600 * BH__SECOND_US};
	a.prefix.count = 2;
	a.prefix.hash[0] = id % 5000;
	a.prefix.hash[1] = id;
	bh__pool_process_ask(p, &a, now_us);
}

static void release_oldest_(Bench *b, BH__Pool *p, uint64_t now_us)
{
	bh__pool_process_release(p, b->grant[b->head++ % RING], BH__RELEASE_DONE, 0, now_us);
}

static void run_(unsigned endpoints, unsigned queued)
{
	Bench *b = g_new0(Bench, 1);
	BH__Pool *p;
	uint64_t now_us = BH__SECOND_US;
	uint64_t next = 1;
	/* with a queue, streams are what runs out; the step of time keeps prefill from doing so */
	uint32_t max_streams = queued ? 4 : 64;
	uint64_t step_us = 2 * TOKENS * 50 / endpoints + 1;
	uint64_t started_us;
	double seconds;

	b->port = (BH__PoolPort){on_grant_, on_refuse_, on_orphan_};
	p = bh__pool_new(&b->port, 1, 1, 1);
	for (uint64_t id = 1; id <= endpoints; id++) {
		BH__PoolEndpoint e = {.endpoint_id = id,
							  .max_streams = max_streams,
							  .serves_short = true,
							  .serves_long = true,
							  .ready = true};
		BH__LoadReport r = {.endpoint_id = id,
							.reachable = true,
							.has_attempts = true,
							.boot_id = 1,
							.kv_total_bytes = KV_BYTES,
							.prefill_tokens_per_s = 20000};
		bh__pool_set_endpoint(p, &e, now_us);
		bh__pool_process_report(p, &r, now_us);
	}
	while (bh__pool_get_queued(p) < queued || b->tail < (uint64_t)endpoints * 2) {
		ask_(p, next++, now_us);
		now_us += step_us;
	}
	started_us = clock_now_us();
	for (unsigned i = 0; i < DECISIONS; i++) {
		now_us += step_us;
		ask_(p, next++, now_us);
		release_oldest_(b, p, now_us);
	}
	seconds = (double)(clock_now_us() - started_us) / 1e6;
	printf("endpoints=%u queued=%u decisions_per_s=%.0f us_per_decision=%.2f refused=%" G_GUINT64_FORMAT
		   " queued_at_end=%u\n",
		   endpoints, queued, DECISIONS / seconds, seconds * 1e6 / DECISIONS, b->refused,
		   bh__pool_get_queued(p));
	fflush(stdout);
	bh__pool_delete(p);
	g_free(b);
}

/* Prints how long each message of a request's way is on the wire, with its frame. */
static void print_sizes_(void)
{
	BH__Message ask = {.type = BH__MESSAGE_ASK, .from_node = UINT64_MAX, .from_boot = UINT64_MAX / 1024};
	BH__Message grant = ask;
	BH__Message release = ask;
	BH__Message ping = ask;
	const BH__Message *const all[] = {&ask, &grant, &release, &ping};

	ask.as.ask = (BH__Ask){.ask_id = UINT64_MAX,
						   .pool_id = UINT64_MAX,
						   .node_id = UINT64_MAX,
						   .boot_id = UINT64_MAX,
						   .account_id = UINT64_MAX,
						   .weight = 1,
						   .prompt_tokens = 5000,
						   .max_tokens = 256,
						   .kv_bytes = 1000000000,
						   .deadline_us = 60 * BH__SECOND_US,
						   .prefix = {.count = 5}};
	for (unsigned i = 0; i < ask.as.ask.prefix.count; i++)
		ask.as.ask.prefix.hash[i] = UINT64_MAX;
	grant.type = BH__MESSAGE_GRANT;
	grant.as.grant = (BH__Grant){.grant_id = UINT64_MAX,
								 .ask_id = UINT64_MAX,
								 .pool_id = UINT64_MAX,
								 .node_id = UINT64_MAX,
								 .boot_id = UINT64_MAX,
								 .member_count = 1};
	grant.as.grant.member[0] = (BH__GrantMember){UINT64_MAX, 1000000000, 0, 5000};
	release.type = BH__MESSAGE_RELEASE;
	release.as.release.pool_id = UINT64_MAX;
	release.as.release.grant_id = UINT64_MAX;
	ping.type = BH__MESSAGE_PING;
	ping.as.ping.self = (BH__MemberInfo){.node_id = UINT64_MAX,
										 .boot_id = UINT64_MAX,
										 .config_revision = 100000,
										 .name = "vm-lk-west-a-017",
										 .hall = "lk-west-a",
										 .peer_address = "10.100.200.30:9101",
										 .caller_address = "10.100.200.30:8101"};
	ping.as.ping.digest_count = BH__MESSAGE_DIGESTS_MAX;
	for (unsigned i = 0; i < BH__MESSAGE_DIGESTS_MAX; i++)
		ping.as.ping.digest[i] = (BH__PoolDigest){UINT64_MAX, UINT64_MAX,        UINT64_C(1) << 40, 100000,
												  10000000,   UINT64_C(1) << 40, UINT64_C(1) << 39, 8,
												  100};
	for (size_t i = 0; i < G_N_ELEMENTS(all); i++) {
		size_t len;
		char *data = bh__message_encode(all[i], &len);
		printf("message=%s bytes=%zu\n", BH__MessageTypeString[all[i]->type], len + FRAME_HEADER_LEN);
		free(data);
	}
	printf("state=waiting-ask bytes=%zu state=grant bytes=%zu state=member bytes=%zu\n",
		   sizeof(BH__QueueEntry), sizeof(BH__LedgerEntry), sizeof(BH__MemberInfo));
}

/* Times the table of not-repeatable requests: a claim and its outcome. */
static void run_once_(void)
{
	BH__IdempotencyTable *o = bh__idempotency_new(ONCE_ENTRIES, 1 << 20);
	BH__IdempotencyOutcome ran = {.verdict = BH__VERDICT_RAN};
	BH__IdempotencyOutcome known;
	uint64_t started_us = clock_now_us();
	double seconds;

	for (unsigned i = 0; i < DECISIONS; i++) {
		char key[24];
		uint64_t entry;
		g_snprintf(key, sizeof key, "offer-%u", i);
		if (bh__idempotency_claim(o, 1, key, i, bh__idempotency_issue(o), &entry, &known) ==
			BH__IDEMPOTENCY_RUN)
			bh__idempotency_finish(o, entry, &ran);
	}
	seconds = (double)(clock_now_us() - started_us) / 1e6;
	printf("once=stamp claims_per_s=%.0f store_writes=0 remembered=%u low_water=%" G_GUINT64_FORMAT "\n",
		   DECISIONS / seconds, bh__idempotency_get_count(o), bh__idempotency_get_low_watermark(o));
	bh__idempotency_delete(o);
}

int main(void)
{
	static const unsigned Endpoints[] = {20, 100, 870};
	static const unsigned Queued[] = {0, 1000, 10000};

	for (size_t e = 0; e < G_N_ELEMENTS(Endpoints); e++)
		for (size_t q = 0; q < G_N_ELEMENTS(Queued); q++)
			run_(Endpoints[e], Queued[q]);
	print_sizes_();
	run_once_();
	return EX_OK;
}
