/* SPDX-License-Identifier: BSD-3-Clause */
/* Sharing of platform state among the nodes, since each platform read costs a call. A node asks its source
 * (BH__SyncSource) for state that it does not have yet. The source holds the request until it has an update
 * or has read again. A change therefore reaches every node within a few messages, and the state of a node is
 * never much older than the reader's latest read. The answer contains the configuration if there is a newer
 * one, and the endpoints that were added, changed or removed, so that a node that the platform refuses works
 * as well as the others. */
#include "bayhoist/platform_sync.h"

#include <string.h>
#include "bayhoist/answer_time.h"
#include "bayhoist/hash.h"
#include "bayhoist/last_endpoints.h"
#include "bayhoist/read_schedule.h"
#include "bayhoist/sync_source.h"

/* Periods of the reader's platform reads, as shares of the time limits for leaving an endpoint and for
 * applying a configuration. They leave time to repeat a failed read and to send its result to all nodes. */
#define ENDPOINTS_PERIOD_SHARE_ 0.25
#define CONFIGURATION_PERIOD_SHARE_ 0.35 /* a watch reports most changes at once */
/* Shortest period of the reader's endpoints reads while endpoints may become cold that get many requests. */
#define NOTICE_MIN_US_ (100 * BH__MS_US)
/* Maximum age of the endpoints, as a share of the same time limit. Older state is not fresh. */
#define ENDPOINTS_MAX_AGE_SHARE_ 0.65
/* Period of the platform reads of a node that has just started and has no answer yet. It cannot serve
 * requests. */
#define STARTUP_PERIOD_US_ (150 * BH__MS_US)
/* Time for which a starting node waits for a source that is starting too. A long list takes a reader
 * that long. */
#define STARTUP_PATIENCE_US_ (3 * BH__SECOND_US)
/* Time after which a starting node that has had no answer of the platform tells the nodes that ask it. */
#define STARTUP_SILENCE_US_ BH__SECOND_US
/* Time after which an unanswered read of a reader is sent again, unless the store's answers take longer. */
#define RESEND_US_ (150 * BH__MS_US)
/* Expected duration of every answer of the store, since all answers are about as long. */
#define EXPECTED_ANSWER_US_ BH__MS_US
/* Time until a reader starts a watch. Starting nodes all consider themselves the reader until they know each
 * other. */
#define WATCH_DELAY_US_ BH__SECOND_US
/* Time-out for a source's answer, beyond the time for which it may hold the request. */
#define ANSWER_TIMEOUT_US_ (300 * BH__MS_US)
/* Time beyond the reader's period for which a source may hold a request. It covers the read and the
 * delivery of its result. */
#define HOLD_EXTRA_US_ (200 * BH__MS_US)
/* Time for which a source may hold a request while no source has fresh state or a new reader was just found.
 * The node then asks another source, so that the notice of a reader reaches all of hundreds of nodes within a
 * few of these times. */
#define SEARCH_HOLD_US_ (250 * BH__MS_US)
/* Time-out of a node's own read of an unavailable platform. A read without an answer blocks the node's next
 * one. An answer of a platform that is 50 times as slow as usual takes 0.2 s. */
#define OWN_READ_TIMEOUT_US_ (300 * BH__MS_US)
#define HOLD_MAX_US_ (10 * BH__SECOND_US) /* upper bound of the hold time, whatever the request says */
/* Delay of the answer to a node that lacks hall drain states. If the node does not accept them it asks again,
 * and this delay limits the rate. */
#define HALLS_DELAY_US_ (50 * BH__MS_US)
/* State of a source counts as an update if it is younger than the asker's by this much. The messages
 * themselves take part of that time. */
#define YOUNGER_MIN_US_ (50 * BH__MS_US)

/* A request that is held until there is an update. Times are in microseconds. */
typedef struct {
	uint64_t node;                  /* node that asks */
	uint64_t asked_us;              /* send time, by the asker's clock */
	uint64_t received_us;           /* arrival, by this node's clock */
	uint64_t answer_by_us;          /* time by which it is answered, with an update or without */
	uint64_t configuration_version; /* the asker's configuration; 0: it has none */
	BH__StoreVersion store_version; /* version up to which the asker has all changes of endpoints */
	bool lacks_halls;               /* this node had hall drain states on arrival that the asker lacked */
	uint64_t halls_version;         /* version of this node's hall drain states on arrival */
	bool knows_unavailable; /* several sources have reported to the asker that the platform is unavailable */
	uint64_t as_of_us;      /* start of the asker's platform read, by this node's clock */
} HeldRequest_;

/* Times are in microseconds. */
struct BH__PlatformSync {
	BH__PlatformSyncPort *port;
	BH__PlatformSyncOptions options;
	const BH__Members *members;
	BH__Registry *registry;
	BH__SyncSource source;
	BH__Outage outage;
	bool has_left_list;  /* the platform has answered the start of a long list; the reader reads the rest */
	uint64_t started_us; /* time of the first tick; 0: none yet */
	uint64_t first_read_us;  /* last sign of the first endpoints read: its start or a page; 0: none is open */
	uint64_t as_of_us;       /* start time of the platform read whose endpoints the registry holds; 0: none */
	uint64_t read_failed_us; /* when an own endpoints read last failed; 0: never */
	uint64_t read_sent_us; /* when the endpoints read in progress was last sent; 0: none is in progress, or it
							* cannot be sent again */
	BH__AnswerTime store_answer_time; /* of the store's answers to endpoints reads */
	uint64_t asked_us;                /* when the open request was sent; 0: none is open */
	uint64_t answer_by_us;            /* time-out of the open request */
	bool asks_newer_node; /* the open request went to a node with a later configuration, not to the source */
	uint64_t notice_us;   /* see bh__platform_sync_set_notice_time() */
	uint64_t reader_since_us;      /* when this node became the reader; 0: it is not */
	uint64_t next_own_read_us;     /* next own read of a node other than the reader, in an outage */
	uint64_t draw_count;           /* number of random times drawn */
	uint64_t out_of_sync_since_us; /* when this node began to search for a source; 0: it does not search */
	bool last_read_failed;         /* this node's last endpoints read was not answered */
	BH__ReadSchedule configuration_schedule;
	BH__ReadSchedule endpoints_schedule;
	uint64_t remote_reader; /* node whose platform read this node last merged; 0: it has read itself since */
	uint64_t rejected_version; /* of an invalid configuration that was received; 0: none */
	BH__PackedText packed;     /* the configuration in the form in which it is sent on */
	uint64_t packed_version;   /* version of the packed configuration; 0: none */
	GArray *held;              /* HeldRequest_ */
};

const char *const BH__PlatformSyncEventString[] = {"ask",          "read",          "found-stale",
												   "found-silent", "found-damaged", "lost",
												   "found",        "took-over",     "looked-again"};

static uint64_t share_us_(uint64_t ms, double share);
static bool is_fresh_(const BH__PlatformSync *s, uint64_t now_us);
static bool is_current_(const BH__PlatformSync *s, uint64_t now_us);
static bool is_reader_out_of_sync_(const BH__PlatformSync *s);
static uint64_t endpoints_max_age_us_(const BH__PlatformSync *s);
static uint64_t endpoints_period_us_(const BH__PlatformSync *s);
static uint64_t configuration_period_us_(const BH__PlatformSync *s);
static uint64_t known_version_(const BH__PlatformSync *s);
static void update_source_(BH__PlatformSync *s, uint64_t now_us);
static void skip_source_(BH__PlatformSync *s, bool stale, uint64_t now_us);
static void end_search_(BH__PlatformSync *s, uint64_t now_us);
static void draw_own_read_(BH__PlatformSync *s, uint64_t now_us);
static void read_platform_(BH__PlatformSync *s, uint64_t now_us);
static void read_as_reader_(BH__PlatformSync *s, uint64_t now_us);
static void ask_others_as_reader_(BH__PlatformSync *s, uint64_t now_us);
static bool has_own_answer_(const BH__PlatformSync *s);
static void take_over_(BH__PlatformSync *s, uint64_t now_us);
static void notify_children_(BH__PlatformSync *s, uint64_t reader);
static bool is_configuration_old_(const BH__PlatformSync *s, uint64_t now_us);
static void read_endpoints_as_non_reader_(BH__PlatformSync *s, uint64_t now_us);
static void read_configuration_as_non_reader_(BH__PlatformSync *s, uint64_t now_us);
static void read_endpoints_(BH__PlatformSync *s, uint64_t limit_us, uint64_t now_us);
static void resend_endpoints_read_(BH__PlatformSync *s, uint64_t now_us);
static void note_as_of_(BH__PlatformSync *s, uint64_t platform_read_us);
static void ask_source_(BH__PlatformSync *s, uint64_t now_us);
static void send_request_(BH__PlatformSync *s, uint64_t node, uint64_t hold_us, uint64_t now_us);
static void ask_newer_node_(BH__PlatformSync *s, const HeldRequest_ *q, uint64_t now_us);
static bool has_update_(const BH__PlatformSync *s, const HeldRequest_ *q, uint64_t now_us);
static void answer_request_(BH__PlatformSync *s, const HeldRequest_ *q, uint64_t now_us);
static const BH__PackedText *packed_configuration_(BH__PlatformSync *s, uint64_t version);
static void add_records_(const BH__PlatformSync *s, const HeldRequest_ *q, uint64_t now_us, GArray *records,
						 GArray *departures, bool *is_complete);
static void add_halls_(const BH__PlatformSync *s, BH__Message *m);
static void merge_halls_(BH__PlatformSync *s, const BH__Message *m, uint64_t now_us);
static bool is_unanswered_at_start_(const BH__PlatformSync *s, uint64_t now_us);
static bool is_source_starting_(const BH__PlatformSync *s, const BH__Message *m, uint64_t now_us);
static void ask_source_again_(BH__PlatformSync *s, uint64_t now_us);
static void apply_configuration_(BH__PlatformSync *s, const BH__Message *m, uint64_t platform_read_us);
static void merge_facts_(BH__PlatformSync *s, const BH__Message *m, uint64_t platform_read_us,
						 uint64_t now_us);
static void remove_unlisted_(BH__Registry *r, const BH__Message *m, uint64_t now_us);

/* Creates the platform sync of a node. `port`, `members` and `registry` must outlive it.
 * bh__platform_sync_delete() frees it. */
BH__PlatformSync *bh__platform_sync_new(BH__PlatformSyncPort *port, const BH__PlatformSyncOptions *options,
										const BH__Members *members, BH__Registry *registry)
{
	BH__PlatformSync *s = g_new0(BH__PlatformSync, 1);

	s->port = port;
	s->options = *options;
	s->members = members;
	s->registry = registry;
	s->notice_us = UINT64_MAX;
	s->held = g_array_new(FALSE, FALSE, sizeof(HeldRequest_));
	return s;
}

void bh__platform_sync_delete(BH__PlatformSync *s)
{
	if (!s)
		return;
	bh__packed_text_clear(&s->packed);
	g_array_unref(s->held);
	g_free(s);
}

/* Sets the longest time in microseconds between two reads of the endpoints by a reader, where that is shorter
 * than the options say. */
void bh__platform_sync_set_notice_time(BH__PlatformSync *s, uint64_t notice_us)
{
	s->notice_us = notice_us;
}

/* Sets changed options. */
void bh__platform_sync_set_options(BH__PlatformSync *s, const BH__PlatformSyncOptions *options)
{
	s->options = *options;
}

/* Returns the start time, in microseconds, of the platform read whose endpoints the registry holds. 0: the
 * registry holds none. */
uint64_t bh__platform_sync_get_as_of_us(const BH__PlatformSync *s)
{
	return s->as_of_us;
}

/* Returns the age and the origin of this node's platform state, for operators. */
BH__PlatformSyncStatus bh__platform_sync_get_status(const BH__PlatformSync *s)
{
	return (BH__PlatformSyncStatus){.endpoints_as_of_us = s->as_of_us,
									.store_version = bh__registry_get_store_version(s->registry),
									.out_of_sync_since_us = s->out_of_sync_since_us,
									.source_node = s->source.node,
									.next_own_read_us = s->out_of_sync_since_us ? s->next_own_read_us : 0};
}

/* Returns the time, in microseconds, from which an endpoint counts as gone when a platform read that ends at
 * `now_us` finds its entry missing. */
uint64_t bh__platform_sync_get_gone_at_us(const BH__PlatformSync *s, uint64_t now_us)
{
	return bh__outage_get_gone_at_us(&s->outage, s->as_of_us, now_us);
}

/* Records that this node's own read of the endpoints, sent at `sent_us`, was answered and that the registry
 * holds its result. */
void bh__platform_sync_note_read_answered(BH__PlatformSync *s, uint64_t sent_us, uint64_t now_us)
{
	s->read_sent_us = 0;
	bh__answer_time_record(&s->store_answer_time, MAX(now_us - sent_us, 1), EXPECTED_ANSWER_US_);
	note_as_of_(s, sent_us);
}

/* Records that the registry holds the endpoints as of a platform read begun at `platform_read_us`. */
static void note_as_of_(BH__PlatformSync *s, uint64_t platform_read_us)
{
	s->as_of_us = MAX(s->as_of_us, platform_read_us);
	bh__last_endpoints_note_entries_read(s->registry, s->as_of_us);
}

/* Records that this node's own endpoints read, sent at `sent_us` with a time-out of `timeout_us`, has failed.
 * If this node reads for others, it answers their held requests accordingly. */
void bh__platform_sync_note_read_failed(BH__PlatformSync *s, uint64_t sent_us, uint64_t timeout_us,
										uint64_t now_us)
{
	s->read_sent_us = 0;
	s->first_read_us = 0;
	s->read_failed_us = now_us;
	s->last_read_failed = true;
	bh__outage_note_read_failed(&s->outage, sent_us, timeout_us, now_us);
	bh__platform_sync_process_update(s, now_us);
}

/* Records that the platform has answered with a page of a long list of endpoints. Returns true if this node
 * must read the rest of the list itself. A starting node that knows a source leaves the rest to the reader,
 * which tells it the complete table: if all nodes read the whole list, they would exceed the store's rate
 * limit. */
bool bh__platform_sync_process_list_page(BH__PlatformSync *s, uint64_t now_us)
{
	s->first_read_us = now_us;
	return s->as_of_us || s->reader_since_us || !bh__sync_source_asks(&s->source, s->members) ||
		   bh__sync_source_is_isolated(&s->source) || bh__sync_source_is_platform_unavailable(&s->source);
}

/* Records that an endpoints read has ended without a result because another node reads the list. */
void bh__platform_sync_note_list_abandoned(BH__PlatformSync *s)
{
	s->read_sent_us = 0;
	s->first_read_us = 0;
	s->has_left_list = true;
	s->endpoints_schedule.sent_us = 0;
}

/* Returns a share of a time in milliseconds, in microseconds. */
static uint64_t share_us_(uint64_t ms, double share)
{
	return (uint64_t)((double)ms * BH__MS_US * share);
}

/* Returns true if this node's endpoints are young enough to be sent to other nodes. */
static bool is_fresh_(const BH__PlatformSync *s, uint64_t now_us)
{
	return s->as_of_us && !is_reader_out_of_sync_(s) && now_us < s->as_of_us + endpoints_max_age_us_(s);
}

/* Returns true if the endpoints are as young as a reader keeps them while the platform answers it. When nodes
 * only required fresh endpoints before they read the configuration themselves, 237 of 295 nodes did so at
 * once, a second into an outage. */
static bool is_current_(const BH__PlatformSync *s, uint64_t now_us)
{
	return is_fresh_(s, now_us) &&
		   now_us < s->as_of_us + endpoints_period_us_(s) + HOLD_EXTRA_US_ + ANSWER_TIMEOUT_US_;
}

/* Returns true if this node reads the platform for others and its last read failed. It notifies them at once:
 * without that, a change made while the platform refused only the reader reached the other nodes 2 s
 * later. */
static bool is_reader_out_of_sync_(const BH__PlatformSync *s)
{
	return s->reader_since_us && s->read_failed_us > s->as_of_us;
}

/* Returns the age at which endpoints are no longer fresh. */
static uint64_t endpoints_max_age_us_(const BH__PlatformSync *s)
{
	return share_us_(s->options.endpoint_drain_ms, ENDPOINTS_MAX_AGE_SHARE_);
}

/* Returns the period of the reader's endpoints reads. */
static uint64_t endpoints_period_us_(const BH__PlatformSync *s)
{
	return share_us_(s->options.endpoint_drain_ms, ENDPOINTS_PERIOD_SHARE_);
}

/* Returns the period of the reader's configuration reads. */
static uint64_t configuration_period_us_(const BH__PlatformSync *s)
{
	return share_us_(s->options.configuration_ms, CONFIGURATION_PERIOD_SHARE_);
}

/* Reads the platform and asks the source if these are due. Must be called several times a second. */
void bh__platform_sync_process_tick(BH__PlatformSync *s, uint64_t now_us)
{
	if (!s->started_us)
		s->started_us = now_us;
	if (s->asked_us && now_us >= s->answer_by_us) {
		if (s->asks_newer_node)
			s->asked_us = 0;
		else
			skip_source_(s, false, now_us);
	}
	take_over_(s, now_us);
	update_source_(s, now_us);
	end_search_(s, now_us);
	s->port->watch_configuration(s->port,
								 s->reader_since_us && now_us >= s->reader_since_us + WATCH_DELAY_US_);
	read_platform_(s, now_us);
	if (bh__sync_source_asks(&s->source, s->members) && !s->asked_us)
		ask_source_(s, now_us);
}

/* Updates the choice of source from membership and the outcome of the last request, and whether this node is
 * the reader. */
static void update_source_(BH__PlatformSync *s, uint64_t now_us)
{
	bool asks;

	if (bh__sync_source_process_tick(&s->source, s->members, now_us)) {
		asks = bh__sync_source_asks(&s->source, s->members);
		if (!s->out_of_sync_since_us)
			s->port->report_event(s->port,
								  asks ? BH__PLATFORM_SYNC_ASKS_SOURCE : BH__PLATFORM_SYNC_READS_PLATFORM,
								  s->source.node);
		s->asked_us = 0;
	}
	if (!bh__sync_source_reads(&s->source, s->members, now_us))
		s->reader_since_us = 0;
	else if (!s->reader_since_us)
		s->reader_since_us = now_us;
}

/* Skips a source that was of no use, because its state was stale or it did not answer, and chooses the next
 * one. */
static void skip_source_(BH__PlatformSync *s, bool stale, uint64_t now_us)
{
	bool was_unavailable = bh__sync_source_is_platform_unavailable(&s->source);
	bool is_unavailable;

	if (!s->out_of_sync_since_us) /* a search asks about four nodes a second: only its start and end are
									 logged */
		s->port->report_event(s->port,
							  stale ? BH__PLATFORM_SYNC_SOURCE_STALE : BH__PLATFORM_SYNC_SOURCE_SILENT,
							  s->source.node);
	if (stale)
		bh__sync_source_note_stale(&s->source, now_us);
	else
		bh__sync_source_note_unresponsive(&s->source, now_us);
	is_unavailable = bh__sync_source_is_platform_unavailable(&s->source);
	if (stale && is_unavailable)
		bh__outage_note_others_out_of_sync(&s->outage, now_us);
	if (!was_unavailable && is_unavailable) {
		draw_own_read_(s, now_us);
		s->out_of_sync_since_us = now_us;
		s->port->report_event(s->port, BH__PLATFORM_SYNC_OUT_OF_SYNC, s->source.node);
	}
	s->asked_us = 0;
	update_source_(s, now_us);
}

/* Ends the search, and logs it, once the node has fresh state. */
static void end_search_(BH__PlatformSync *s, uint64_t now_us)
{
	if (!s->out_of_sync_since_us || bh__sync_source_is_platform_unavailable(&s->source) ||
		!is_fresh_(s, now_us))
		return;
	s->out_of_sync_since_us = 0;
	s->port->report_event(s->port, BH__PLATFORM_SYNC_RESYNCED, s->source.node);
}

/* Draws the time of this node's next own read while the platform is unavailable. */
static void draw_own_read_(BH__PlatformSync *s, uint64_t now_us)
{
	uint64_t random = bh__hash_pair(
		bh__hash_pair(s->options.random_seed, bh__members_get_self(s->members)->node_id), ++s->draw_count);

	s->next_own_read_us =
		now_us + bh__sync_source_get_read_delay_us(s->members, s->options.unavailable_reads_per_s, random);
}

/* Reads the platform if this node is the reader, has just started, or gets no fresh state from other nodes.
 */
static void read_platform_(BH__PlatformSync *s, uint64_t now_us)
{
	if (s->reader_since_us) {
		read_as_reader_(s, now_us);
		ask_others_as_reader_(s, now_us);
		return;
	}
	if (!is_fresh_(s, now_us))
		read_endpoints_as_non_reader_(s, now_us);
	if (is_configuration_old_(s, now_us) && (is_current_(s, now_us) || has_own_answer_(s)))
		read_configuration_as_non_reader_(s, now_us);
}

/* Reads as the reader, once per period. While the endpoints read is not answered the configuration is not
 * read: the endpoints reads are enough to notice that the platform is back. */
static void read_as_reader_(BH__PlatformSync *s, uint64_t now_us)
{
	const BH__ConfigurationState *c = s->port->get_configuration(s->port);
	uint64_t answered_us = bh__configuration_state_get_read_us(c);
	bool is_unavailable = s->endpoints_schedule.sent_us && s->as_of_us < s->endpoints_schedule.sent_us;
	uint64_t configuration_us = answered_us ? configuration_period_us_(s) : STARTUP_PERIOD_US_;
	uint64_t endpoints_us = s->as_of_us ? endpoints_period_us_(s) : STARTUP_PERIOD_US_;

	if (s->as_of_us && !is_unavailable)
		endpoints_us = MIN(endpoints_us, MAX(s->notice_us, NOTICE_MIN_US_));
	if (!is_unavailable &&
		bh__read_schedule_process(&s->configuration_schedule, configuration_us, answered_us, true, now_us))
		s->port->read_configuration(s->port);
	if (bh__read_schedule_process(&s->endpoints_schedule, endpoints_us, s->as_of_us, true, now_us))
		read_endpoints_(s, 0, now_us);
	if (!s->last_read_failed) /* else the searching nodes notice that the store is back */
		resend_endpoints_read_(s, now_us);
}

/* Makes a reader that the platform does not answer ask other nodes too. */
static void ask_others_as_reader_(BH__PlatformSync *s, uint64_t now_us)
{
	bool has_failed = is_reader_out_of_sync_(s) && s->read_failed_us >= s->reader_since_us;
	bool is_old = !is_fresh_(s, now_us) && now_us >= s->reader_since_us + endpoints_max_age_us_(s);

	if (!bh__sync_source_asks(&s->source, s->members) &&
		(has_failed || is_old || is_unanswered_at_start_(s, now_us)) && bh__members_get_count(s->members) > 1)
		skip_source_(s, true, now_us);
}

/* Returns true if this node's last endpoints read was answered and it has merged no other node's read since.
 */
static bool has_own_answer_(const BH__PlatformSync *s)
{
	return !s->remote_reader && s->endpoints_schedule.sent_us && s->as_of_us >= s->endpoints_schedule.sent_us;
}

/* Takes over as the reader for all nodes if the platform answers this node and it knows no other reader, or
 * if this node is a reader that is answered again. */
static void take_over_(BH__PlatformSync *s, uint64_t now_us)
{
	bool reads = s->reader_since_us && s->last_read_failed;

	if (!has_own_answer_(s) || !is_fresh_(s, now_us))
		return;
	if (bh__sync_source_take_over(&s->source, s->members, reads, now_us)) {
		s->port->report_event(s->port, BH__PLATFORM_SYNC_TOOK_OVER,
							  bh__members_get_self(s->members)->node_id);
		notify_children_(s, bh__members_get_self(s->members)->node_id);
	}
	s->last_read_failed = false;
}

/* Notifies this node's children in the tree of who reads the platform. */
static void notify_children_(BH__PlatformSync *s, uint64_t reader)
{
	BH__Message notice = {.type = BH__MESSAGE_READER};
	uint64_t child[BH__SYNC_SOURCE_CHILDREN_MAX];
	unsigned count = bh__sync_source_list_children(s->members, reader, child);

	notice.as.sync.reader = reader;
	for (unsigned i = 0; i < count; i++)
		s->port->send(s->port, child[i], &notice);
}

/* Handles a notice of which node reads the platform for all. If this node accepts it, it notifies its
 * children and asks accordingly from now on. */
void bh__platform_sync_process_reader(BH__PlatformSync *s, const BH__Message *m, uint64_t now_us)
{
	if (!bh__sync_source_note_reader(&s->source, s->members, m->as.sync.reader, m->from_node, now_us))
		return;
	notify_children_(s, m->as.sync.reader);
	s->asked_us = 0;
	update_source_(s, now_us);
	if (bh__sync_source_asks(&s->source, s->members))
		ask_source_(s, now_us);
}

/* Returns true if the configuration is old enough that a node other than the reader reads it itself. */
static bool is_configuration_old_(const BH__PlatformSync *s, uint64_t now_us)
{
	const BH__ConfigurationState *c = s->port->get_configuration(s->port);
	uint64_t bound_us = s->options.configuration_ms * BH__MS_US;
	uint64_t max_age_us =
		bh__read_schedule_get_max_age_us(bound_us, configuration_period_us_(s), has_own_answer_(s));

	return now_us >= bh__configuration_state_get_read_us(c) + max_age_us;
}

/* Reads the endpoints if this node, which is not the reader and has no fresh endpoints, gets no answer from
 * peers, or gets only stale state and its own read is due. */
static void read_endpoints_as_non_reader_(BH__PlatformSync *s, uint64_t now_us)
{
	uint64_t period_us = endpoints_period_us_(s);
	bool is_unavailable = bh__sync_source_is_platform_unavailable(&s->source);

	if (bh__sync_source_is_isolated(&s->source)) {
		if (bh__read_schedule_process(&s->endpoints_schedule, period_us, s->as_of_us, false, now_us))
			read_endpoints_(s, 0, now_us);
	}
	else if (is_unavailable && now_us >= s->next_own_read_us) {
		draw_own_read_(s, now_us);
		s->endpoints_schedule.sent_us = now_us;
		read_endpoints_(s, OWN_READ_TIMEOUT_US_, now_us);
	}
}

/* Reads the configuration on a node that is not the reader, if that is due. The caller has made sure that the
 * platform answers reads of the endpoints. */
static void read_configuration_as_non_reader_(BH__PlatformSync *s, uint64_t now_us)
{
	const BH__ConfigurationState *c = s->port->get_configuration(s->port);

	if (bh__read_schedule_process(&s->configuration_schedule, configuration_period_us_(s),
								  bh__configuration_state_get_read_us(c), false, now_us))
		s->port->read_configuration(s->port);
}

/* Starts an endpoints read with a time-out of `limit_us`; 0: the usual one. */
static void read_endpoints_(BH__PlatformSync *s, uint64_t limit_us, uint64_t now_us)
{
	s->remote_reader = 0;
	if (!s->as_of_us && !s->first_read_us)
		s->first_read_us = now_us;
	if (!s->read_sent_us)
		s->read_sent_us = now_us;
	s->port->read_endpoints(s->port, limit_us);
}

/* Sends the endpoints read in progress again if its answer is late. A read that the store or the link has
 * lost would keep the reader, until its time-out, from noticing that the store answers. A store that is known
 * to answer slowly gets only one read. The late answer is recorded as evidence of an outage in which entries
 * may have expired, because an answer to the second request leaves no failed read behind. */
static void resend_endpoints_read_(BH__PlatformSync *s, uint64_t now_us)
{
	uint64_t wait_us =
		MAX(RESEND_US_, bh__answer_time_get_upper_bound_us(&s->store_answer_time, EXPECTED_ANSWER_US_));

	if (!s->read_sent_us || now_us < s->read_sent_us + wait_us)
		return;
	bh__outage_note_read_failed(&s->outage, s->read_sent_us, wait_us, now_us);
	s->read_sent_us = 0;
	if (!s->port->resend_endpoints_read(s->port))
		return;
	s->read_sent_us = now_us;
	s->port->report_event(s->port, BH__PLATFORM_SYNC_READ_RESENT, bh__members_get_self(s->members)->node_id);
}

/* Asks the source. It may hold the request for one reader's period, for a short time during a search or while
 * this node lacks state, and not at all after another source was of no use. */
static void ask_source_(BH__PlatformSync *s, uint64_t now_us)
{
	uint64_t hold_us = 0;

	if (bh__sync_source_needs_short_hold(&s->source, s->members, now_us) ||
		!s->port->get_configuration(s->port)->version || !s->as_of_us)
		hold_us = SEARCH_HOLD_US_;
	else if (!s->source.unresponsive_count && !s->source.stale_count)
		hold_us = endpoints_period_us_(s) + HOLD_EXTRA_US_;
	send_request_(s, s->source.node, hold_us, now_us);
}

/* Returns the latest version that this node knows, whether it can use it or not. */
static uint64_t known_version_(const BH__PlatformSync *s)
{
	const BH__ConfigurationState *c = s->port->get_configuration(s->port);

	return MAX(MAX(c->version, c->refused_version), s->rejected_version);
}

/* Sends a request to a node, which may hold it for `hold_us`. */
static void send_request_(BH__PlatformSync *s, uint64_t node, uint64_t hold_us, uint64_t now_us)
{
	BH__Message m = {.type = BH__MESSAGE_SYNC_ASK};

	s->asked_us = now_us;
	s->asks_newer_node = node != s->source.node;
	s->answer_by_us = now_us + hold_us + ANSWER_TIMEOUT_US_;
	m.as.sync.asked_us = now_us;
	m.as.sync.hold_time_us = hold_us;
	m.as.sync.platform_unavailable = bh__sync_source_is_platform_unavailable(&s->source);
	m.as.sync.configuration_version = known_version_(s);
	m.as.sync.store_version = bh__registry_get_store_version(s->registry);
	m.as.sync.era_start = bh__registry_get_era_start(s->registry);
	m.as.sync.registry_age_us = now_us - s->as_of_us;
	add_halls_(s, &m);
	s->port->send(s->port, node, &m);
}

/* Adds all known hall drain states to a message. They are few, so both the request and the answer carry all
 * of them, and it does not matter which of the two nodes has more. */
static void add_halls_(const BH__PlatformSync *s, BH__Message *m)
{
	m->as.sync.hall_count = bh__registry_get_hall_count(s->registry);
	if (m->as.sync.hall_count)
		m->as.sync.hall = (BH__HallDrain *)bh__registry_get_hall(s->registry, 0);
}

/* Merges the hall drain states of another node into the registry. */
static void merge_halls_(BH__PlatformSync *s, const BH__Message *m, uint64_t now_us)
{
	uint64_t old_version = bh__registry_get_halls_version(s->registry);

	for (uint32_t i = 0; i < m->as.sync.hall_count; i++)
		bh__registry_put_hall(s->registry, m->as.sync.hall[i].name, m->as.sync.hall[i].draining,
							  m->as.sync.hall[i].changed, now_us);
	if (bh__registry_get_halls_version(s->registry) != old_version)
		s->port->merged(s->port);
}

/* Handles the request of another node: answers it if there is an update, or else holds it. */
void bh__platform_sync_process_ask(BH__PlatformSync *s, const BH__Message *ask, uint64_t now_us)
{
	HeldRequest_ q = {.node = ask->from_node,
					  .asked_us = ask->as.sync.asked_us,
					  .received_us = now_us,
					  .answer_by_us = now_us + MIN(ask->as.sync.hold_time_us, HOLD_MAX_US_),
					  .configuration_version = ask->as.sync.configuration_version,
					  .store_version = ask->as.sync.store_version,
					  .knows_unavailable = ask->as.sync.platform_unavailable,
					  .as_of_us = now_us - MIN(now_us, ask->as.sync.registry_age_us)};

	merge_halls_(s, ask, now_us);
	q.lacks_halls = bh__registry_has_newer_halls(s->registry, ask->as.sync.hall, ask->as.sync.hall_count);
	q.halls_version = bh__registry_get_halls_version(s->registry);
	for (guint i = s->held->len; i-- > 0;)
		if (g_array_index(s->held, HeldRequest_, i).node == q.node)
			g_array_remove_index_fast(s->held, i);
	if (has_update_(s, &q, now_us))
		answer_request_(s, &q, now_us);
	else
		g_array_append_val(s->held, q);
	ask_newer_node_(s, &q, now_us);
}

/* Asks the asker for its configuration if that is later than this node's. The platform, which this node has
 * read, was then restored from a backup. Without this, a reader that had started from the backup accepted
 * a key again that had been revoked before. */
static void ask_newer_node_(BH__PlatformSync *s, const HeldRequest_ *q, uint64_t now_us)
{
	const BH__ConfigurationState *c = s->port->get_configuration(s->port);

	if (c->version && q->configuration_version > known_version_(s) && !s->asked_us)
		send_request_(s, q->node, 0, now_us);
}

/* Returns true if a request must be answered now: its hold time is over, or there is an update for the asker.
 */
static bool has_update_(const BH__PlatformSync *s, const HeldRequest_ *q, uint64_t now_us)
{
	const BH__ConfigurationState *c = s->port->get_configuration(s->port);
	bool is_older = s->as_of_us <= q->as_of_us;
	bool differs =
		bh__store_version_is_after(bh__registry_get_changed_store_version(s->registry), q->store_version);

	if (now_us >= q->answer_by_us || c->version > q->configuration_version)
		return true;
	if (bh__registry_get_halls_version(s->registry) != q->halls_version ||
		(q->lacks_halls && now_us >= q->received_us + HALLS_DELAY_US_))
		return true;
	if (is_reader_out_of_sync_(s) && !q->knows_unavailable) /* the asker may find a better source */
		return true;
	return is_fresh_(s, now_us) && !is_older && (differs || s->as_of_us > q->as_of_us + YOUNGER_MIN_US_);
}

/* Handles new state of this node: takes over as the reader if that is due, and answers the held requests for
 * which there is an update. */
void bh__platform_sync_process_update(BH__PlatformSync *s, uint64_t now_us)
{
	take_over_(s, now_us);
	for (guint i = s->held->len; i-- > 0;) {
		HeldRequest_ q = g_array_index(s->held, HeldRequest_, i);
		if (!has_update_(s, &q, now_us))
			continue;
		g_array_remove_index_fast(s->held, i);
		answer_request_(s, &q, now_us);
	}
}

/* Answers a request with this node's configuration, endpoints and hall drain states, as far as the asker
 * lacks them. */
static void answer_request_(BH__PlatformSync *s, const HeldRequest_ *q, uint64_t now_us)
{
	const BH__ConfigurationState *c = s->port->get_configuration(s->port);
	BH__Message m = {.type = BH__MESSAGE_SYNC};
	GArray *records = g_array_new(FALSE, FALSE, sizeof(BH__EndpointRecord));
	GArray *departures = g_array_new(FALSE, FALSE, sizeof(BH__EndpointDeparture));

	m.as.sync.asked_us = q->asked_us;
	m.as.sync.hold_time_us = now_us - q->received_us;
	m.as.sync.configuration_version = c->version;
	m.as.sync.configuration_age_us = now_us - c->newest_read_us;
	if (m.as.sync.configuration_version > q->configuration_version)
		m.as.sync.configuration = *packed_configuration_(s, c->version);
	m.as.sync.store_version = bh__registry_get_store_version(s->registry);
	m.as.sync.era_start = bh__registry_get_era_start(s->registry);
	m.as.sync.registry_age_us = now_us - s->as_of_us;
	m.as.sync.reader = s->remote_reader ? s->remote_reader : bh__members_get_self(s->members)->node_id;
	m.as.sync.platform_unavailable = is_reader_out_of_sync_(s) || is_unanswered_at_start_(s, now_us);
	add_records_(s, q, now_us, records, departures, &m.as.sync.is_complete);
	m.as.sync.count = records->len;
	m.as.sync.fact = (BH__EndpointRecord *)(void *)records->data;
	m.as.sync.gone_count = departures->len;
	m.as.sync.gone = (BH__EndpointDeparture *)(void *)departures->data;
	add_halls_(s, &m);
	s->port->send(s->port, q->node, &m);
	g_array_unref(records);
	g_array_unref(departures);
}

/* Returns the current configuration, packed once for all askers. */
static const BH__PackedText *packed_configuration_(BH__PlatformSync *s, uint64_t version)
{
	if (s->packed_version != version) {
		bh__packed_text_compress(&s->packed, s->port->get_configuration_text(s->port));
		s->packed_version = version;
	}
	return &s->packed;
}

/* Adds the changes of endpoints that the asker lacks, or the complete table, with `*is_complete` set, if the
 * changes since the asker's version are no longer known. A node without endpoints adds nothing. */
static void add_records_(const BH__PlatformSync *s, const HeldRequest_ *q, uint64_t now_us, GArray *records,
						 GArray *departures, bool *is_complete)
{
	const BH__Registry *r = s->registry;

	*is_complete = false;
	if (bh__store_version_is_zero(bh__registry_get_store_version(r)) ||
		bh__registry_list_changes(r, q->store_version, now_us, records, departures))
		return;
	*is_complete = true;
	for (unsigned i = 0; i < bh__registry_get_count(r); i++)
		bh__registry_add_record(r, i, now_us, records);
}

/* Handles the answer of a source. The ages in it count back from the send time of the request plus the time
 * for which the source held it. */
void bh__platform_sync_process_answer(BH__PlatformSync *s, const BH__Message *m, uint64_t now_us)
{
	uint64_t answered_us = MIN(m->as.sync.asked_us + m->as.sync.hold_time_us, now_us);
	uint64_t registry_read_us = answered_us - MIN(answered_us, m->as.sync.registry_age_us);

	if (!s->asked_us || m->as.sync.asked_us != s->asked_us)
		return;
	s->asked_us = 0;
	merge_halls_(s, m, now_us);
	apply_configuration_(s, m, answered_us - MIN(answered_us, m->as.sync.configuration_age_us));
	if (s->asks_newer_node)
		return;
	if (is_source_starting_(s, m, now_us)) {
		ask_source_again_(s, now_us);
		return;
	}
	if (m->as.sync.platform_unavailable ||
		!bh__sync_source_is_fresh_enough(&s->source, m->as.sync.registry_age_us, endpoints_max_age_us_(s),
										 endpoints_period_us_(s))) {
		skip_source_(s, true, now_us);
	}
	else {
		bh__sync_source_note_useful(&s->source, m->as.sync.reader, now_us);
		merge_facts_(s, m, registry_read_us, now_us);
	}
	ask_source_again_(s, now_us);
}

/* Returns true if this node has no endpoints yet and can't count on its reads: the platform leaves its first
 * one without an answer, or several sources are without state. */
static bool is_unanswered_at_start_(const BH__PlatformSync *s, uint64_t now_us)
{
	bool is_silent = s->first_read_us && now_us >= s->first_read_us + STARTUP_SILENCE_US_;

	return !s->as_of_us && (is_silent || bh__sync_source_is_platform_unavailable(&s->source));
}

/* Returns true if the source has no endpoints yet because it is starting too, and this node waits for them,
 * since the platform has answered it with the start of a long list or has not failed its first read.
 * Such a source says nothing about the platform: it may still be reading its first list. */
static bool is_source_starting_(const BH__PlatformSync *s, const BH__Message *m, uint64_t now_us)
{
	return (s->has_left_list || s->first_read_us) && !s->as_of_us && !m->as.sync.platform_unavailable &&
		   bh__store_version_is_zero(m->as.sync.store_version) &&
		   now_us < s->started_us + STARTUP_PATIENCE_US_;
}

/* Asks the source, which may have changed meanwhile. */
static void ask_source_again_(BH__PlatformSync *s, uint64_t now_us)
{
	update_source_(s, now_us);
	if (bh__sync_source_asks(&s->source, s->members))
		ask_source_(s, now_us);
}

/* Applies or confirms the configuration in an answer, which a platform read begun at `platform_read_us`
 * returned. An invalid one is remembered so that it is not requested again. */
static void apply_configuration_(BH__PlatformSync *s, const BH__Message *m, uint64_t platform_read_us)
{
	uint64_t version = s->port->get_configuration(s->port)->version;
	uint64_t received_version = m->as.sync.configuration_version;
	char *text;

	if (received_version == version && version)
		s->port->confirm_configuration(s->port, version, platform_read_us);
	if (!m->as.sync.configuration.len || received_version <= version)
		return;
	text = bh__packed_text_decompress(&m->as.sync.configuration);
	if (!text)
		s->port->report_event(s->port, BH__PLATFORM_SYNC_SOURCE_DAMAGED, m->from_node);
	if (text && s->port->take_configuration(s->port, text, platform_read_us)) {
		bh__packed_text_copy(&s->packed,
							 &m->as.sync.configuration); /* nodes that ask this one get it unchanged */
		s->packed_version = received_version;
	}
	else {
		s->rejected_version = received_version;
	}
	g_free(text);
}

/* Merges a source's endpoints, which a platform read begun at `platform_read_us` returned, into the registry.
 * They count as this node's state as of that read only if the source's store version is not older than this
 * node's. */
static void merge_facts_(BH__PlatformSync *s, const BH__Message *m, uint64_t platform_read_us,
						 uint64_t now_us)
{
	BH__Registry *r = s->registry;
	BH__StoreVersion store_version = m->as.sync.store_version;
	unsigned was_count = bh__registry_get_count(r);
	bool is_behind = bh__store_version_is_after(bh__registry_get_store_version(r), store_version);

	if (bh__store_version_is_zero(store_version))
		return;
	bh__registry_begin_era(r, m->as.sync.era_start.era == store_version.era ? m->as.sync.era_start
																			: store_version);
	for (uint32_t i = 0; i < m->as.sync.count; i++)
		bh__registry_put_record(r, &m->as.sync.fact[i], store_version, now_us);
	for (uint32_t i = 0; i < m->as.sync.gone_count; i++)
		bh__registry_put_departure(r, &m->as.sync.gone[i], store_version);
	if (m->as.sync.is_complete)
		remove_unlisted_(r, m, now_us);
	bh__registry_set_store_version(r, store_version);
	if (m->as.sync.count || m->as.sync.gone_count)
		s->port->report_received(s->port, m, was_count);
	if (is_behind)
		return;
	if (platform_read_us > s->as_of_us)
		s->remote_reader = m->as.sync.reader;
	note_as_of_(s, platform_read_us);
	s->port->merged(s->port);
}

/* Removes the endpoints that a source's complete table does not list. They are gone as of its store version.
 */
static void remove_unlisted_(BH__Registry *r, const BH__Message *m, uint64_t now_us)
{
	GHashTable *ids = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);

	for (uint32_t i = 0; i < m->as.sync.count; i++) {
		uint64_t id = bh__hash_name(m->as.sync.fact[i].entry.id);
		g_hash_table_add(ids, g_memdup2(&id, sizeof id));
	}
	bh__registry_retain_only(r, ids, m->as.sync.store_version, now_us);
	g_hash_table_unref(ids);
}
