/* SPDX-License-Identifier: BSD-3-Clause */
/* What the platform says, shared among the nodes, since each look at it costs a call. A node asks its source
 * (source.h) what there is that it does not know yet. The source keeps the question until it has news or has
 * looked again, so that a change reaches every node within a few messages' time, and what a node knows is
 * never much older than the reader's latest look. With the answer comes the configuration itself if there is
 * a newer one, and which endpoints have come, changed or left: a node that the platform turns away goes on
 * as well as the others. */
#include "bayhoist/looks.h"

#include <string.h>
#include "bayhoist/answer_time.h"
#include "bayhoist/hash.h"
#include "bayhoist/look.h"
#include "bayhoist/source.h"

/* Between the reader's looks, as shares of the times in which a leaving endpoint is to be left and a
 * configuration to be in force: a look that fails can be made again, and what it shows still be told in time.
 */
#define ENDPOINTS_LOOK_SHARE_ 0.25
#define CONFIGURATION_LOOK_SHARE_ 0.35 /* a watch tells of most changes at once */
/* The age, as a share of the same time, at which a node does not rely on its source any more. */
#define ENDPOINTS_OLD_SHARE_ 0.65
/* Between looks of a node that has started and has no answer yet: it serves nobody. */
#define UNINFORMED_US_ (150 * BH__MS_US)
/* After which a reader's look that is not answered is sent again, unless the store's answers take longer. */
#define AGAIN_US_ (150 * BH__MS_US)
#define ANSWER_UNIT_US_ BH__MS_US /* in which answers of the store are reckoned: all are about as long */
/* Before a reader watches: nodes that start all think they read, until they know each other. */
#define WATCH_AFTER_US_ BH__SECOND_US
/* For a source's answer, beside the time for which it may keep the question. */
#define ANSWER_US_ (300 * BH__MS_US)
/* For which a source may keep a question beyond the reader's period: for the look and its way here. */
#define HOLD_EXTRA_US_ (200 * BH__MS_US)
/* For which one may while no source knows anything fresh, or another reader was just found: then another node
 * is asked, so that news of one is with all of hundreds within some of these. */
#define AWAY_HOLD_US_ (250 * BH__MS_US)
/* For the answer to a node's own look at a platform that is away. A look that meets silence keeps the node
 * from the next one; an answer of a platform that is fifty times as slow as usual takes 0.2 s. */
#define AWAY_LOOK_US_ (300 * BH__MS_US)
#define HOLD_MAX_US_ (10 * BH__SECOND_US) /* whatever the asker says */
/* Before an asker that knows less of halls is told what it lacks: if it does not take that, it asks again. */
#define HALLS_WAIT_US_ (50 * BH__MS_US)
/* What a source has seen is news if it is so much younger than what the asker knows: messages take some of
 * that themselves. */
#define YOUNGER_US_ (50 * BH__MS_US)

/* A question that waits for news. */
typedef struct {
	uint64_t node;
	uint64_t asked_us; /* by the asker's clock */
	uint64_t arrived_us;
	uint64_t until_us; /* it is answered by then, news or not */
	uint64_t configuration_version;
	BH__Place place;        /* up to which the asker knows all changes of endpoints */
	bool knows_less_halls;  /* than this node did when it asked */
	uint64_t halls_version; /* of what this node knew of halls then */
	bool knows_away;        /* the asker has heard from several that the platform is away */
	uint64_t known_us;      /* by this node's clock, of when the asker's knowledge of endpoints is */
} HeldQuestion_;

struct BH__Looks {
	BH__LooksPort *port;
	BH__LooksOptions options;
	const BH__Members *members;
	BH__Registry *registry;
	BH__Source source;
	BH__Outage outage;
	uint64_t known_us;        /* when the look was begun that the registry shows */
	uint64_t lost_us;         /* when a look at endpoints last failed */
	uint64_t sent_us;         /* when the look at endpoints that is under way was last sent; 0: none is, or it
							   * can't be sent again */
	BH__AnswerTime answers;   /* of the store to looks at endpoints */
	uint64_t asked_us;        /* 0: no question is open */
	uint64_t answer_until_us; /* of that question */
	bool asks_back;           /* it is to a node that knows a later configuration, not to the source */
	uint64_t reads_since_us;  /* 0: this node is not the reader */
	uint64_t next_own_us;     /* look of a node that is not the reader, while the platform is away */
	uint64_t draws;           /* random times that were drawn */
	uint64_t lost_since_us;   /* when this node began to search; 0: it does not */
	bool was_lost;            /* this node's last look was not answered */
	BH__Look configuration;
	BH__Look endpoints;
	uint64_t
		told_reader; /* node whose look at endpoints this node was told last; 0: it looked itself since */
	uint64_t refused_version; /* of a configuration that was told and is wrong */
	BH__PackedText packed;    /* the configuration as it is sent on */
	uint64_t packed_version;
	GArray *held; /* HeldQuestion_ */
};

const char *const BH__LooksEventString[] = {"ask",  "read",  "found-stale", "found-silent", "found-damaged",
											"lost", "found", "took-over",   "looked-again"};

static uint64_t share_us_(uint64_t ms, double share);
static bool is_fresh_(const BH__Looks *l, uint64_t now_us);
static bool is_current_(const BH__Looks *l, uint64_t now_us);
static bool is_lost_(const BH__Looks *l);
static uint64_t endpoints_old_us_(const BH__Looks *l);
static uint64_t endpoints_period_us_(const BH__Looks *l);
static uint64_t configuration_period_us_(const BH__Looks *l);
static void follow_source_(BH__Looks *l, uint64_t now_us);
static void note_useless_(BH__Looks *l, bool stale, uint64_t now_us);
static void end_search_(BH__Looks *l, uint64_t now_us);
static void draw_own_look_(BH__Looks *l, uint64_t now_us);
static void look_(BH__Looks *l, uint64_t now_us);
static void look_as_reader_(BH__Looks *l, uint64_t now_us);
static void leave_reading_(BH__Looks *l, uint64_t now_us);
static bool is_reached_(const BH__Looks *l);
static void take_over_(BH__Looks *l, uint64_t now_us);
static void tell_next_(BH__Looks *l, uint64_t reader);
static bool is_configuration_old_(const BH__Looks *l, uint64_t now_us);
static void look_at_endpoints_alone_(BH__Looks *l, uint64_t now_us);
static void look_at_configuration_alone_(BH__Looks *l, uint64_t now_us);
static void look_at_endpoints_(BH__Looks *l, uint64_t limit_us, uint64_t now_us);
static void look_at_endpoints_again_(BH__Looks *l, uint64_t now_us);
static void note_known_(BH__Looks *l, uint64_t looked_us);
static void ask_(BH__Looks *l, uint64_t now_us);
static void send_question_(BH__Looks *l, uint64_t node, uint64_t hold_us, uint64_t now_us);
static void ask_back_(BH__Looks *l, const HeldQuestion_ *q, uint64_t now_us);
static bool has_news_(const BH__Looks *l, const HeldQuestion_ *q, uint64_t now_us);
static void answer_(BH__Looks *l, const HeldQuestion_ *q, uint64_t now_us);
static const BH__PackedText *packed_configuration_(BH__Looks *l, uint64_t version);
static void add_facts_(const BH__Looks *l, const HeldQuestion_ *q, uint64_t now_us, GArray *facts,
					   GArray *departures, bool *is_complete);
static void fill_halls_(const BH__Looks *l, BH__Message *m);
static void take_halls_(BH__Looks *l, const BH__Message *m, uint64_t now_us);
static void take_configuration_(BH__Looks *l, const BH__Message *m, uint64_t looked_us);
static void take_facts_(BH__Looks *l, const BH__Message *m, uint64_t looked_us, uint64_t now_us);
static void keep_only_told_(BH__Registry *r, const BH__Message *m, uint64_t now_us);

BH__Looks *bh__looks_new(BH__LooksPort *port, const BH__LooksOptions *options, const BH__Members *members,
						 BH__Registry *registry)
{
	BH__Looks *l = g_new0(BH__Looks, 1);

	l->port = port;
	l->options = *options;
	l->members = members;
	l->registry = registry;
	l->held = g_array_new(FALSE, FALSE, sizeof(HeldQuestion_));
	return l;
}

void bh__looks_delete(BH__Looks *l)
{
	if (!l)
		return;
	bh__packed_text_clear(&l->packed);
	g_array_unref(l->held);
	g_free(l);
}

/* Takes options that have changed. */
void bh__looks_set_options(BH__Looks *l, const BH__LooksOptions *options)
{
	l->options = *options;
}

/* Returns when the look was begun that the registry shows; 0: nothing is known of endpoints. */
uint64_t bh__looks_get_known_us(const BH__Looks *l)
{
	return l->known_us;
}

/* Returns what operators are to know of where the node has its knowledge from. */
BH__LooksStatus bh__looks_get_status(const BH__Looks *l)
{
	return (BH__LooksStatus){.known_us = l->known_us,
							 .place = bh__registry_get_place(l->registry),
							 .lost_since_us = l->lost_since_us,
							 .asked_node = l->source.node,
							 .next_own_us = l->lost_since_us ? l->next_own_us : 0};
}

/* Returns from when on an endpoint is to be taken as gone whose entry is found to be, by a look that ends
 * now. */
uint64_t bh__looks_get_gone_at_us(const BH__Looks *l, uint64_t now_us)
{
	return bh__outage_get_gone_at_us(&l->outage, l->known_us, now_us);
}

/* This node's own look at endpoints, as it was sent at `sent_us`, has been answered; the registry shows what
 * it found. */
void bh__looks_note_answered(BH__Looks *l, uint64_t sent_us, uint64_t now_us)
{
	l->sent_us = 0;
	bh__answer_time_note(&l->answers, MAX(now_us - sent_us, 1), ANSWER_UNIT_US_);
	note_known_(l, sent_us);
}

/* The registry shows the endpoints as they were when a look was begun. */
static void note_known_(BH__Looks *l, uint64_t looked_us)
{
	l->known_us = MAX(l->known_us, looked_us);
}

/* This node's own look at endpoints, which was sent at `sent_us` and had `timeout_us`, has failed: others
 * hear of it if this node looks for them. */
void bh__looks_note_lost(BH__Looks *l, uint64_t sent_us, uint64_t timeout_us, uint64_t now_us)
{
	l->sent_us = 0;
	l->lost_us = now_us;
	l->was_lost = true;
	bh__outage_note_failed(&l->outage, sent_us, timeout_us, now_us);
	bh__looks_process_news(l, now_us);
}

static uint64_t share_us_(uint64_t ms, double share)
{
	return (uint64_t)((double)ms * BH__MS_US * share);
}

/* Returns true if this node's knowledge of endpoints is young enough to be passed on. */
static bool is_fresh_(const BH__Looks *l, uint64_t now_us)
{
	return l->known_us && !is_lost_(l) && now_us < l->known_us + endpoints_old_us_(l);
}

/* Returns true if what is known of endpoints is as young as a reader keeps it that the platform answers.
 * Where nodes looked at the configuration themselves while it was merely not old, 237 of 295 did so at once,
 * a second into an outage. */
static bool is_current_(const BH__Looks *l, uint64_t now_us)
{
	return is_fresh_(l, now_us) &&
		   now_us < l->known_us + endpoints_period_us_(l) + HOLD_EXTRA_US_ + ANSWER_US_;
}

/* Returns true if this node reads the platform for others and its last look failed. They hear of it at once:
 * where the platform turns just the reader away, a change that was made then came to the others 2 s later. */
static bool is_lost_(const BH__Looks *l)
{
	return l->reads_since_us && l->lost_us > l->known_us;
}

/* Returns the age from which on what is known of endpoints is not relied on. */
static uint64_t endpoints_old_us_(const BH__Looks *l)
{
	return share_us_(l->options.endpoint_drain_ms, ENDPOINTS_OLD_SHARE_);
}

/* Returns the time between the reader's looks at the endpoints. */
static uint64_t endpoints_period_us_(const BH__Looks *l)
{
	return share_us_(l->options.endpoint_drain_ms, ENDPOINTS_LOOK_SHARE_);
}

/* The same for the configuration. */
static uint64_t configuration_period_us_(const BH__Looks *l)
{
	return share_us_(l->options.configuration_ms, CONFIGURATION_LOOK_SHARE_);
}

/* Looks or asks if it is time. To be called several times a second. */
void bh__looks_process_tick(BH__Looks *l, uint64_t now_us)
{
	if (l->asked_us && now_us >= l->answer_until_us) {
		if (l->asks_back)
			l->asked_us = 0;
		else
			note_useless_(l, false, now_us);
	}
	take_over_(l, now_us);
	follow_source_(l, now_us);
	end_search_(l, now_us);
	l->port->watch_configuration(l->port, l->reads_since_us && now_us >= l->reads_since_us + WATCH_AFTER_US_);
	look_(l, now_us);
	if (bh__source_asks(&l->source, l->members) && !l->asked_us)
		ask_(l, now_us);
}

/* Asks another source where membership, or what has become of the last question, wants that. */
static void follow_source_(BH__Looks *l, uint64_t now_us)
{
	bool asks;

	if (bh__source_process_tick(&l->source, l->members, now_us)) {
		asks = bh__source_asks(&l->source, l->members);
		if (!l->lost_since_us)
			l->port->said(l->port, asks ? BH__LOOKS_ASKS : BH__LOOKS_READS, l->source.node);
		l->asked_us = 0;
	}
	if (!bh__source_reads(&l->source, l->members, now_us))
		l->reads_since_us = 0;
	else if (!l->reads_since_us)
		l->reads_since_us = now_us;
}

/* The source was of no use: the next in rank is asked, at once. */
static void note_useless_(BH__Looks *l, bool stale, uint64_t now_us)
{
	bool was_away = bh__source_is_platform_away(&l->source);
	bool is_away;

	if (!l->lost_since_us) /* a search asks some four nodes a second: its beginning and end are said */
		l->port->said(l->port, stale ? BH__LOOKS_FOUND_STALE : BH__LOOKS_FOUND_SILENT, l->source.node);
	if (stale)
		bh__source_note_stale(&l->source, now_us);
	else
		bh__source_note_silent(&l->source, now_us);
	is_away = bh__source_is_platform_away(&l->source);
	if (stale && is_away)
		bh__outage_note_others_lost(&l->outage, now_us);
	if (!was_away && is_away) {
		draw_own_look_(l, now_us);
		l->lost_since_us = now_us;
		l->port->said(l->port, BH__LOOKS_LOST, l->source.node);
	}
	l->asked_us = 0;
	follow_source_(l, now_us);
}

/* Says so when the search is over. */
static void end_search_(BH__Looks *l, uint64_t now_us)
{
	if (!l->lost_since_us || bh__source_is_platform_away(&l->source) || !is_fresh_(l, now_us))
		return;
	l->lost_since_us = 0;
	l->port->said(l->port, BH__LOOKS_FOUND, l->source.node);
}

/* Draws when this node looks next while the platform is away. */
static void draw_own_look_(BH__Looks *l, uint64_t now_us)
{
	uint64_t draw =
		bh__hash_pair(bh__hash_pair(l->options.draw, bh__members_get_self(l->members)->node_id), ++l->draws);

	l->next_own_us = now_us + bh__source_get_look_wait_us(l->members, l->options.away_looks_per_s, draw);
}

/* Looks at the platform if this node is to read it, has just started, or has to see for itself. */
static void look_(BH__Looks *l, uint64_t now_us)
{
	if (l->reads_since_us) {
		look_as_reader_(l, now_us);
		leave_reading_(l, now_us);
		return;
	}
	if (!is_fresh_(l, now_us))
		look_at_endpoints_alone_(l, now_us);
	if (is_configuration_old_(l, now_us) && (is_current_(l, now_us) || is_reached_(l)))
		look_at_configuration_alone_(l, now_us);
}

/* The reader looks once a period. While the endpoints' list is not answered that is enough to see when the
 * platform is back. */
static void look_as_reader_(BH__Looks *l, uint64_t now_us)
{
	BH__LooksConfiguration c = l->port->get_configuration(l->port);
	bool knows = c.version || c.none_us;
	bool is_away = l->endpoints.sent_us && l->known_us < l->endpoints.sent_us;
	uint64_t configuration_us = knows ? configuration_period_us_(l) : UNINFORMED_US_;
	uint64_t endpoints_us = l->known_us ? endpoints_period_us_(l) : UNINFORMED_US_;

	if (!is_away && bh__look_process(&l->configuration, configuration_us, c.looked_us, true, now_us))
		l->port->look_at_configuration(l->port);
	if (bh__look_process(&l->endpoints, endpoints_us, l->known_us, true, now_us))
		look_at_endpoints_(l, 0, now_us);
	if (!l->was_lost) /* then those that search see the store's return */
		look_at_endpoints_again_(l, now_us);
}

/* A reader that the platform does not answer asks others too. */
static void leave_reading_(BH__Looks *l, uint64_t now_us)
{
	bool is_lost = is_lost_(l) && l->lost_us >= l->reads_since_us;
	bool is_old = !is_fresh_(l, now_us) && now_us >= l->reads_since_us + endpoints_old_us_(l);

	if (!bh__source_asks(&l->source, l->members) && (is_lost || is_old) &&
		bh__members_get_count(l->members) > 1)
		note_useless_(l, true, now_us);
}

/* Returns true if this node's own last look at endpoints was answered, and none was told of since. */
static bool is_reached_(const BH__Looks *l)
{
	return !l->told_reader && l->endpoints.sent_us && l->known_us >= l->endpoints.sent_us;
}

/* A node that the platform answers, while it knows of none that reads it, reads it for all from now on; so
 * does a reader that is answered again. */
static void take_over_(BH__Looks *l, uint64_t now_us)
{
	bool reads = l->reads_since_us && l->was_lost;

	if (!is_reached_(l) || !is_fresh_(l, now_us))
		return;
	if (bh__source_take_over(&l->source, l->members, reads, now_us)) {
		l->port->said(l->port, BH__LOOKS_TOOK_OVER, bh__members_get_self(l->members)->node_id);
		tell_next_(l, bh__members_get_self(l->members)->node_id);
	}
	l->was_lost = false;
}

/* Tells the nodes below this one who reads the platform. */
static void tell_next_(BH__Looks *l, uint64_t reader)
{
	BH__Message news = {.type = BH__MESSAGE_READER};
	uint64_t next[BH__SOURCE_NEXT_MAX];
	unsigned count = bh__source_list_next(l->members, reader, next);

	news.as.sync.reader = reader;
	for (unsigned i = 0; i < count; i++)
		l->port->send(l->port, next[i], &news);
}

/* Another node says who reads the platform for all. It is told on, and asked what it knows from now on. */
void bh__looks_process_reader(BH__Looks *l, const BH__Message *m, uint64_t now_us)
{
	if (!bh__source_note_reader(&l->source, l->members, m->as.sync.reader, m->from_node, now_us))
		return;
	tell_next_(l, m->as.sync.reader);
	l->asked_us = 0;
	follow_source_(l, now_us);
	if (bh__source_asks(&l->source, l->members))
		ask_(l, now_us);
}

static bool is_configuration_old_(const BH__Looks *l, uint64_t now_us)
{
	BH__LooksConfiguration c = l->port->get_configuration(l->port);
	uint64_t bound_us = l->options.configuration_ms * BH__MS_US;
	uint64_t old_us = bh__look_get_old_us(bound_us, configuration_period_us_(l), is_reached_(l));

	return now_us >= MAX(c.looked_us, c.none_us) + old_us;
}

/* A node that is not the reader looks if what it knows is old and no peer answers, or none knows better. */
static void look_at_endpoints_alone_(BH__Looks *l, uint64_t now_us)
{
	uint64_t period_us = endpoints_period_us_(l);
	bool is_away = bh__source_is_platform_away(&l->source);

	if (bh__source_is_cut_off(&l->source)) {
		if (bh__look_process(&l->endpoints, period_us, l->known_us, false, now_us))
			look_at_endpoints_(l, 0, now_us);
	}
	else if (is_away && now_us >= l->next_own_us) {
		draw_own_look_(l, now_us);
		l->endpoints.sent_us = now_us;
		look_at_endpoints_(l, AWAY_LOOK_US_, now_us);
	}
}

/* The same for the configuration, where the endpoints' list shows that the platform answers. */
static void look_at_configuration_alone_(BH__Looks *l, uint64_t now_us)
{
	BH__LooksConfiguration c = l->port->get_configuration(l->port);

	if (bh__look_process(&l->configuration, configuration_period_us_(l), c.looked_us, false, now_us))
		l->port->look_at_configuration(l->port);
}

static void look_at_endpoints_(BH__Looks *l, uint64_t limit_us, uint64_t now_us)
{
	l->told_reader = 0;
	if (!l->sent_us)
		l->sent_us = now_us;
	l->port->look_at_endpoints(l->port, limit_us);
}

/* A look that a store swallowed, or a link lost, keeps the reader from seeing for the rest of its time that
 * the store answers: it is sent again. A store that is merely slow gets one look where its answers are known
 * to take as long. The silence is noted as one in which entries may have lapsed: an answer to a later sending
 * leaves no failed look as its sign. */
static void look_at_endpoints_again_(BH__Looks *l, uint64_t now_us)
{
	uint64_t wait_us = MAX(AGAIN_US_, bh__answer_time_get_longest_us(&l->answers, ANSWER_UNIT_US_));

	if (!l->sent_us || now_us < l->sent_us + wait_us)
		return;
	bh__outage_note_failed(&l->outage, l->sent_us, wait_us, now_us);
	l->sent_us = 0;
	if (!l->port->look_at_endpoints_again(l->port))
		return;
	l->sent_us = now_us;
	l->port->said(l->port, BH__LOOKS_LOOKED_AGAIN, bh__members_get_self(l->members)->node_id);
}

static void ask_(BH__Looks *l, uint64_t now_us)
{
	uint64_t hold_us = 0;

	if (bh__source_is_hurried(&l->source, l->members, now_us) ||
		!l->port->get_configuration(l->port).version || !l->known_us)
		hold_us = AWAY_HOLD_US_;
	else if (!l->source.silent && !l->source.stale)
		hold_us = endpoints_period_us_(l) + HOLD_EXTRA_US_;
	send_question_(l, l->source.node, hold_us, now_us);
}

/* Asks a node, which may keep the question for so long. */
static void send_question_(BH__Looks *l, uint64_t node, uint64_t hold_us, uint64_t now_us)
{
	BH__Message m = {.type = BH__MESSAGE_SYNC_ASK};
	uint64_t version = l->port->get_configuration(l->port).version;

	l->asked_us = now_us;
	l->asks_back = node != l->source.node;
	l->answer_until_us = now_us + hold_us + ANSWER_US_;
	m.as.sync.asked_us = now_us;
	m.as.sync.hold_time_us = hold_us;
	m.as.sync.platform_unavailable = bh__source_is_platform_away(&l->source);
	m.as.sync.configuration_version = MAX(version, l->refused_version);
	m.as.sync.place = bh__registry_get_place(l->registry);
	m.as.sync.era_start = bh__registry_get_era_start(l->registry);
	m.as.sync.registry_age_us = now_us - l->known_us;
	fill_halls_(l, &m);
	l->port->send(l->port, node, &m);
}

/* Adds what is known of halls that drain. It is so little that all of it goes both ways: which of two nodes
 * knows more is not to matter. */
static void fill_halls_(const BH__Looks *l, BH__Message *m)
{
	m->as.sync.hall_count = bh__registry_get_hall_count(l->registry);
	if (m->as.sync.hall_count)
		m->as.sync.hall = (BH__HallDrain *)bh__registry_get_hall(l->registry, 0);
}

/* Takes what another node knows of halls that drain. */
static void take_halls_(BH__Looks *l, const BH__Message *m, uint64_t now_us)
{
	uint64_t was = bh__registry_get_halls_version(l->registry);

	for (uint32_t i = 0; i < m->as.sync.hall_count; i++)
		bh__registry_put_hall(l->registry, m->as.sync.hall[i].name, m->as.sync.hall[i].draining,
							  m->as.sync.hall[i].changed, now_us);
	if (bh__registry_get_halls_version(l->registry) != was)
		l->port->learnt(l->port);
}

/* Another node asks what it does not know. */
void bh__looks_process_ask(BH__Looks *l, const BH__Message *ask, uint64_t now_us)
{
	HeldQuestion_ q = {.node = ask->from_node,
					   .asked_us = ask->as.sync.asked_us,
					   .arrived_us = now_us,
					   .until_us = now_us + MIN(ask->as.sync.hold_time_us, HOLD_MAX_US_),
					   .configuration_version = ask->as.sync.configuration_version,
					   .place = ask->as.sync.place,
					   .knows_away = ask->as.sync.platform_unavailable,
					   .known_us = now_us - MIN(now_us, ask->as.sync.registry_age_us)};

	take_halls_(l, ask, now_us);
	q.knows_less_halls =
		bh__registry_knows_more_of_halls(l->registry, ask->as.sync.hall, ask->as.sync.hall_count);
	q.halls_version = bh__registry_get_halls_version(l->registry);
	for (guint i = l->held->len; i-- > 0;)
		if (g_array_index(l->held, HeldQuestion_, i).node == q.node)
			g_array_remove_index_fast(l->held, i);
	if (has_news_(l, &q, now_us))
		answer_(l, &q, now_us);
	else
		g_array_append_val(l->held, q);
	ask_back_(l, &q, now_us);
}

/* A node that asks knows a later configuration than this one, which has read the platform: that has gone back
 * to a copy. A reader that had started from the copy let a key work again that had been taken away before. */
static void ask_back_(BH__Looks *l, const HeldQuestion_ *q, uint64_t now_us)
{
	BH__LooksConfiguration c = l->port->get_configuration(l->port);

	if (c.version && q->configuration_version > MAX(c.version, l->refused_version) && !l->asked_us)
		send_question_(l, q->node, 0, now_us);
}

/* Returns true if a question is to be answered now. */
static bool has_news_(const BH__Looks *l, const HeldQuestion_ *q, uint64_t now_us)
{
	BH__LooksConfiguration c = l->port->get_configuration(l->port);
	bool is_older = l->known_us <= q->known_us;
	bool differs = bh__place_is_after(bh__registry_get_changed_place(l->registry), q->place);

	if (now_us >= q->until_us || c.version > q->configuration_version)
		return true;
	if (bh__registry_get_halls_version(l->registry) != q->halls_version ||
		(q->knows_less_halls && now_us >= q->arrived_us + HALLS_WAIT_US_))
		return true;
	if (is_lost_(l) && !q->knows_away) /* the asker may find a better one */
		return true;
	return is_fresh_(l, now_us) && !is_older && (differs || l->known_us > q->known_us + YOUNGER_US_);
}

/* Something has become known: questions that waited for it are answered. */
void bh__looks_process_news(BH__Looks *l, uint64_t now_us)
{
	take_over_(l, now_us);
	for (guint i = l->held->len; i-- > 0;) {
		HeldQuestion_ q = g_array_index(l->held, HeldQuestion_, i);
		if (!has_news_(l, &q, now_us))
			continue;
		g_array_remove_index_fast(l->held, i);
		answer_(l, &q, now_us);
	}
}

static void answer_(BH__Looks *l, const HeldQuestion_ *q, uint64_t now_us)
{
	BH__LooksConfiguration c = l->port->get_configuration(l->port);
	BH__Message m = {.type = BH__MESSAGE_SYNC};
	GArray *facts = g_array_new(FALSE, FALSE, sizeof(BH__EndpointFact));
	GArray *departures = g_array_new(FALSE, FALSE, sizeof(BH__EndpointDeparture));

	m.as.sync.asked_us = q->asked_us;
	m.as.sync.hold_time_us = now_us - q->arrived_us;
	m.as.sync.configuration_version = c.version;
	m.as.sync.configuration_age_us = now_us - c.looked_us;
	if (m.as.sync.configuration_version > q->configuration_version)
		m.as.sync.configuration = *packed_configuration_(l, c.version);
	m.as.sync.place = bh__registry_get_place(l->registry);
	m.as.sync.era_start = bh__registry_get_era_start(l->registry);
	m.as.sync.registry_age_us = now_us - l->known_us;
	m.as.sync.reader = l->told_reader ? l->told_reader : bh__members_get_self(l->members)->node_id;
	m.as.sync.platform_unavailable = is_lost_(l);
	add_facts_(l, q, now_us, facts, departures, &m.as.sync.is_complete);
	m.as.sync.count = facts->len;
	m.as.sync.fact = (BH__EndpointFact *)(void *)facts->data;
	m.as.sync.gone_count = departures->len;
	m.as.sync.gone = (BH__EndpointDeparture *)(void *)departures->data;
	fill_halls_(l, &m);
	l->port->send(l->port, q->node, &m);
	g_array_unref(facts);
	g_array_unref(departures);
}

/* Returns the configuration of now, packed once for all who ask. */
static const BH__PackedText *packed_configuration_(BH__Looks *l, uint64_t version)
{
	if (l->packed_version != version) {
		bh__packed_text_set(&l->packed, l->port->get_configuration_text(l->port));
		l->packed_version = version;
	}
	return &l->packed;
}

/* Adds what the asker of a question does not know of endpoints. A node that knows nothing of them tells
 * nothing. */
static void add_facts_(const BH__Looks *l, const HeldQuestion_ *q, uint64_t now_us, GArray *facts,
					   GArray *departures, bool *is_complete)
{
	const BH__Registry *r = l->registry;

	*is_complete = false;
	if (bh__place_is_start(bh__registry_get_place(r)) ||
		bh__registry_list_changes(r, q->place, now_us, facts, departures))
		return;
	*is_complete = true;
	for (unsigned i = 0; i < bh__registry_get_count(r); i++)
		bh__registry_add_fact(r, i, now_us, facts);
}

/* The source answers. Its ages are taken as counted from the question and the time that it was kept. */
void bh__looks_process_answer(BH__Looks *l, const BH__Message *m, uint64_t now_us)
{
	uint64_t seen_us = MIN(m->as.sync.asked_us + m->as.sync.hold_time_us, now_us);
	uint64_t registry_us = seen_us - MIN(seen_us, m->as.sync.registry_age_us);

	if (!l->asked_us || m->as.sync.asked_us != l->asked_us)
		return;
	l->asked_us = 0;
	take_halls_(l, m, now_us);
	take_configuration_(l, m, seen_us - MIN(seen_us, m->as.sync.configuration_age_us));
	if (l->asks_back)
		return;
	if (m->as.sync.platform_unavailable ||
		!bh__source_is_young(&l->source, m->as.sync.registry_age_us, endpoints_old_us_(l),
							 endpoints_period_us_(l))) {
		note_useless_(l, true, now_us);
	}
	else {
		bh__source_note_useful(&l->source, m->as.sync.reader, now_us);
		take_facts_(l, m, registry_us, now_us);
	}
	follow_source_(l, now_us);
	if (bh__source_asks(&l->source, l->members))
		ask_(l, now_us);
}

static void take_configuration_(BH__Looks *l, const BH__Message *m, uint64_t looked_us)
{
	uint64_t version = l->port->get_configuration(l->port).version;
	uint64_t told_version = m->as.sync.configuration_version;
	char *text;

	if (told_version == version && version)
		l->port->confirm_configuration(l->port, looked_us);
	if (!m->as.sync.configuration.len || told_version <= version)
		return;
	text = bh__packed_text_open(&m->as.sync.configuration);
	bh__packed_text_copy(&l->packed, &m->as.sync.configuration); /* those who ask this node get it as it is */
	l->packed_version = told_version;
	if (!text)
		l->port->said(l->port, BH__LOOKS_FOUND_DAMAGED, m->from_node);
	if (!text || !l->port->take_configuration(l->port, text, looked_us))
		l->refused_version = told_version;
	g_free(text);
}

/* Takes what a source tells of endpoints; the look at the platform that it shows was begun at `looked_us`.
 * Only if it comes at least as far in the store's history as this node does, that is what this node knows
 * from now on. */
static void take_facts_(BH__Looks *l, const BH__Message *m, uint64_t looked_us, uint64_t now_us)
{
	BH__Registry *r = l->registry;
	BH__Place place = m->as.sync.place;
	unsigned was_count = bh__registry_get_count(r);
	bool is_behind = bh__place_is_after(bh__registry_get_place(r), place);

	if (bh__place_is_start(place))
		return;
	bh__registry_begin_era(r, m->as.sync.era_start.era == place.era ? m->as.sync.era_start : place);
	for (uint32_t i = 0; i < m->as.sync.count; i++)
		bh__registry_put_fact(r, &m->as.sync.fact[i], place, now_us);
	for (uint32_t i = 0; i < m->as.sync.gone_count; i++)
		bh__registry_put_departure(r, &m->as.sync.gone[i], place);
	if (m->as.sync.is_complete)
		keep_only_told_(r, m, now_us);
	bh__registry_set_place(r, place);
	if (m->as.sync.count || m->as.sync.gone_count)
		l->port->was_told(l->port, m, was_count);
	if (is_behind)
		return;
	if (looked_us > l->known_us)
		l->told_reader = m->as.sync.reader;
	note_known_(l, looked_us);
	l->port->learnt(l->port);
}

/* What a source's whole table does not name was gone as of its place. */
static void keep_only_told_(BH__Registry *r, const BH__Message *m, uint64_t now_us)
{
	GHashTable *ids = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);

	for (uint32_t i = 0; i < m->as.sync.count; i++) {
		uint64_t id = bh__hash_name(m->as.sync.fact[i].entry.id);
		g_hash_table_add(ids, g_memdup2(&id, sizeof id));
	}
	bh__registry_keep_only(r, ids, m->as.sync.place, now_us);
	g_hash_table_unref(ids);
}
