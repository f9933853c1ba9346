/* SPDX-License-Identifier: BSD-3-Clause */
/* The belief about the paths between halls (hall_paths.h): this node's own evidence for each hall, the
 * reports of all nodes, and what follows for pairs of halls. */
#include "bayhoist/hall_paths.h"

#include <string.h>

/* Targets without a round trip from which a node concludes that a path is lost. One or two may be machines
 * that have died together; with two, repeated failures are needed. */
#define FAILED_TARGETS_ 3u
#define FAILED_TARGETS_FEW_ 2u
#define FAILURES_FEW_ 5u
#define TARGETS_MAX_ 8u                  /* targets that are told apart */
#define EVIDENCE_VALID_US_ BH__SECOND_US /* failures further apart than this don't make one conclusion */
/* Reports of nodes of one hall that make a belief: one node alone may be at fault itself. */
#define REPORTERS_MIN_ 2u
/* Nodes of a hall that go on reporting and probing; the others rely on them. */
#define REPORTERS_KEPT_ 4u
/* From a conclusion to resigning. Nobody withdraws the report of a node that has resigned, so it would keep
 * up the belief of a cut that was shorter. */
#define RESIGN_US_ BH__SECOND_US
#define REPORT_PERIOD_US_ (500 * BH__MS_US)
#define REPORT_VALID_US_ (3 * REPORT_PERIOD_US_) /* two announcements may be lost */
#define WITHDRAWALS_ 2u /* announcements that a path is back, the second for who missed the first */
#define REPORTS_MAX_ 4096u
#define PROBE_PERIOD_US_ (250 * BH__MS_US)
#define FIRST_PROBES_ 3u /* at once, when a path becomes doubtful */
/* A path is held for lost for this time at least, twice as long each time that it is lost again within
 * FLAP_US_ of its return, so that what uses it does not swing with it. */
#define HOLD_MIN_US_ (300 * BH__MS_US)
#define HOLD_MAX_US_ (2400 * BH__MS_US)
#define FLAP_US_ (5 * BH__SECOND_US)
/* Paths that return count for duties, and for the planning of endpoints, once none has changed for this time:
 * those of one hall return one after the other, and each step would move duties. */
#define SETTLE_US_ BH__SECOND_US
#define RETURN_TRIPS_ 2u /* round trips, apart from each other, before a path is back */

const char *const BH__PathStateString[] = {"open", "doubtful", "lost"};

/* A hall, and this node's own evidence of the path to it. */
typedef struct {
	char name[BH__NAME_LEN];
	BH__PathState known;           /* state at the last update */
	uint64_t since_us;             /* when it began */
	bool may_serve;                /* see bh__hall_paths_may_serve() */
	bool is_together;              /* see bh__hall_paths_plans_together() */
	uint32_t nodes;                /* usable nodes in it */
	uint64_t target[TARGETS_MAX_]; /* distinct targets without a round trip since the last one with */
	unsigned target_count;
	unsigned failures;         /* all failures in that time */
	uint64_t first_failed_us;  /* the first of them; 0: none */
	uint64_t reached_us;       /* last round trip; 0: none */
	uint64_t heard_us;         /* when anything was last heard; 0: never */
	bool is_lost;              /* this node's own conclusion, which it reports */
	uint64_t concluded_us;     /* when it was drawn */
	uint64_t returned_us;      /* when it was last taken back; 0: never */
	uint64_t hold_us;          /* shortest time for which it holds */
	uint64_t counted_us;       /* when a round trip was last counted there */
	unsigned reached_in_a_row; /* round trips since the last failure, apart from each other */
	unsigned probes_due;       /* probes to be made at once */
	uint64_t next_probe_us;
	uint64_t next_report_us; /* 0: a report is due at once */
	unsigned withdrawals_due;
} Hall_;

typedef struct {
	uint64_t node_id;
	Hall_ *from;
	Hall_ *to;
	uint32_t hall_nodes;
	bool is_heard;
	uint64_t received_us;
} Report_;

struct BH__HallPaths {
	uint64_t own_node;
	Hall_ *own;
	GPtrArray *halls; /* Hall_, the own one first */
	GArray *reports;  /* Report_ */
	bool is_whole;    /* no path is known to be lost, and none has just returned */
	/* by pairs of indexes in `halls`: paths that are lost, and those that count as such for duties */
	bool is_lost[BH__PATH_HALLS_MAX][BH__PATH_HALLS_MAX];
	bool counts_as_lost[BH__PATH_HALLS_MAX][BH__PATH_HALLS_MAX];
	uint64_t changed_us; /* when a path was last lost or returned */
	uint64_t version;    /* grows with each change of a state */
};

static Hall_ *find_(const BH__HallPaths *h, const char *name);
static Hall_ *add_(BH__HallPaths *h, const char *name);
static void add_target_(Hall_ *hall, uint64_t target);
static void clear_evidence_(Hall_ *hall);
static bool reached_elsewhere_(const BH__HallPaths *h, const Hall_ *hall);
static void conclude_(BH__HallPaths *h, Hall_ *hall, uint64_t now_us);
static void take_back_(BH__HallPaths *h, Hall_ *hall, uint64_t now_us);
static Report_ *find_report_(const BH__HallPaths *h, uint64_t node_id, const Hall_ *from, const Hall_ *to);
static void put_report_(BH__HallPaths *h, const BH__PathReport *report, Hall_ *from, Hall_ *to,
						uint64_t now_us);
static bool is_heard_(const BH__HallPaths *h, const Hall_ *hall);
static void drop_report_(BH__HallPaths *h, uint64_t node_id, const Hall_ *from, const Hall_ *to);
static unsigned count_reports_(const BH__HallPaths *h, const Hall_ *from, const Hall_ *to, uint64_t below);
static bool is_reported_(const BH__HallPaths *h, const Hall_ *from, const Hall_ *to);
static bool is_path_lost_(const BH__HallPaths *h, const Hall_ *a, const Hall_ *b);
static BH__PathState state_(const BH__HallPaths *h, const Hall_ *hall);
static void update_(BH__HallPaths *h, uint64_t now_us);
static bool update_lost_paths_(BH__HallPaths *h, uint64_t now_us);
static void choose_serving_(BH__HallPaths *h);
static void find_reachable_(const BH__HallPaths *h, bool reachable[BH__PATH_HALLS_MAX]);
static bool is_probe_due_(const BH__HallPaths *h, const Hall_ *hall, uint64_t now_us);
static bool has_nodes_(const BH__HallPaths *h, guint index);
static bool find_detour_(const BH__HallPaths *h, const Hall_ *to);

/* Returns a belief in which all paths are open. `own_hall` may be empty: then nothing is ever lost. */
BH__HallPaths *bh__hall_paths_new(const char *own_hall, uint64_t own_node)
{
	BH__HallPaths *h = g_new0(BH__HallPaths, 1);

	h->own_node = own_node;
	h->halls = g_ptr_array_new_with_free_func(g_free);
	h->reports = g_array_new(FALSE, FALSE, sizeof(Report_));
	h->is_whole = true;
	h->own = add_(h, own_hall);
	return h;
}

void bh__hall_paths_delete(BH__HallPaths *h)
{
	if (!h)
		return;
	g_ptr_array_unref(h->halls);
	g_array_unref(h->reports);
	g_free(h);
}

static Hall_ *find_(const BH__HallPaths *h, const char *name)
{
	for (guint i = 0; i < h->halls->len; i++) {
		Hall_ *hall = g_ptr_array_index(h->halls, i);
		if (!strcmp(hall->name, name))
			return hall;
	}
	return NULL;
}

/* Returns the entry of a hall, a new one if there is none; NULL: it has no name, or there are too many. */
static Hall_ *add_(BH__HallPaths *h, const char *name)
{
	Hall_ *hall = find_(h, name);

	if (hall || (h->halls->len && (!name[0] || h->halls->len >= BH__PATH_HALLS_MAX)))
		return hall;
	hall = g_new0(Hall_, 1);
	g_strlcpy(hall->name, name, sizeof hall->name);
	hall->may_serve = true;
	hall->is_together = true;
	hall->hold_us = HOLD_MIN_US_;
	g_ptr_array_add(h->halls, hall);
	return hall;
}

/* Records that a target in a hall, a node or an endpoint, gave no round trip in the usual time. The first
 * such target makes the path doubtful and asks for probes. Targets in the own hall tell nothing of paths. */
void bh__hall_paths_note_failed(BH__HallPaths *h, const char *name, uint64_t target, uint64_t now_us)
{
	Hall_ *hall = h->own->name[0] ? add_(h, name) : NULL;

	if (!hall || hall == h->own)
		return;
	hall->reached_in_a_row = 0;
	if (!hall->is_lost && hall->first_failed_us && now_us >= hall->first_failed_us + EVIDENCE_VALID_US_)
		clear_evidence_(hall);
	hall->failures++;
	add_target_(hall, target);
	if (!hall->first_failed_us) {
		hall->first_failed_us = now_us;
		if (!is_path_lost_(h, h->own, hall)) {
			hall->probes_due = FIRST_PROBES_;
			hall->next_probe_us = now_us + PROBE_PERIOD_US_;
			h->own->probes_due = 1;
		}
	}
	conclude_(h, hall, now_us);
	update_(h, now_us);
}

static void add_target_(Hall_ *hall, uint64_t target)
{
	for (unsigned i = 0; i < hall->target_count; i++)
		if (hall->target[i] == target)
			return;
	if (hall->target_count < TARGETS_MAX_)
		hall->target[hall->target_count++] = target;
}

/* Forgets the failures at targets in a hall. */
static void clear_evidence_(Hall_ *hall)
{
	hall->first_failed_us = 0;
	hall->target_count = 0;
	hall->failures = 0;
}

/* Records a round trip to a target in a hall, on something that this node began itself: a connection that was
 * set up or refused, or a probe that was acknowledged. */
void bh__hall_paths_note_reached(BH__HallPaths *h, const char *name, uint64_t now_us)
{
	Hall_ *hall = add_(h, name);

	if (!hall)
		return;
	hall->reached_us = now_us;
	hall->heard_us = now_us;
	if (hall->is_lost) {
		if (now_us >= hall->counted_us + PROBE_PERIOD_US_ / 2) {
			hall->reached_in_a_row++;
			hall->counted_us = now_us;
		}
		if (hall->reached_in_a_row < RETURN_TRIPS_ || now_us < hall->concluded_us + hall->hold_us)
			return;
		take_back_(h, hall, now_us);
	}
	if (!hall->first_failed_us && hall->known == BH__PATH_OPEN)
		return;
	clear_evidence_(hall);
	update_(h, now_us);
}

/* Records that a message of a node in a hall has come in. It tells only that this direction works. */
void bh__hall_paths_note_heard(BH__HallPaths *h, const char *name, uint64_t now_us)
{
	Hall_ *hall = add_(h, name);

	if (hall)
		hall->heard_us = now_us;
}

/* Returns true if there was a round trip to another hall, or within the own one, since the first failure. If
 * there was none, it is open whether this node's own links are at fault. */
static bool reached_elsewhere_(const BH__HallPaths *h, const Hall_ *hall)
{
	for (guint i = 0; i < h->halls->len; i++) {
		const Hall_ *other = g_ptr_array_index(h->halls, i);
		if (other != hall && other->reached_us >= hall->first_failed_us)
			return true;
	}
	return false;
}

/* Concludes that the path to a hall is lost if the evidence suffices and others don't report it already. */
static void conclude_(BH__HallPaths *h, Hall_ *hall, uint64_t now_us)
{
	if (hall->is_lost || !hall->first_failed_us || now_us >= hall->first_failed_us + EVIDENCE_VALID_US_ ||
		!reached_elsewhere_(h, hall))
		return;
	if (hall->target_count < FAILED_TARGETS_ &&
		(hall->target_count < FAILED_TARGETS_FEW_ || hall->failures < FAILURES_FEW_))
		return;
	if (count_reports_(h, h->own, hall, UINT64_MAX) >= REPORTERS_KEPT_)
		return;
	hall->is_lost = true;
	hall->concluded_us = now_us;
	hall->hold_us = hall->returned_us && now_us < hall->returned_us + FLAP_US_
						? MIN(2 * hall->hold_us, HOLD_MAX_US_)
						: HOLD_MIN_US_;
	hall->next_report_us = 0;
	hall->withdrawals_due = 0;
}

/* Takes back this node's own conclusion. */
static void take_back_(BH__HallPaths *h, Hall_ *hall, uint64_t now_us)
{
	hall->is_lost = false;
	hall->returned_us = now_us;
	hall->withdrawals_due = WITHDRAWALS_;
	hall->next_report_us = 0;
	drop_report_(h, h->own_node, h->own, hall);
}

static Report_ *find_report_(const BH__HallPaths *h, uint64_t node_id, const Hall_ *from, const Hall_ *to)
{
	for (guint i = 0; i < h->reports->len; i++) {
		Report_ *r = &g_array_index(h->reports, Report_, i);
		if (r->node_id == node_id && r->from == from && r->to == to)
			return r;
	}
	return NULL;
}

static void put_report_(BH__HallPaths *h, const BH__PathReport *report, Hall_ *from, Hall_ *to,
						uint64_t now_us)
{
	Report_ *r = find_report_(h, report->node_id, from, to);
	Report_ made = {.node_id = report->node_id, .from = from, .to = to};

	if (!r && h->reports->len >= REPORTS_MAX_)
		return;
	if (!r) {
		g_array_append_val(h->reports, made);
		r = &g_array_index(h->reports, Report_, h->reports->len - 1);
	}
	r->hall_nodes = report->hall_nodes;
	r->is_heard |= report->is_heard; /* soon nothing is left that could be heard */
	r->received_us = now_us;
}

static void drop_report_(BH__HallPaths *h, uint64_t node_id, const Hall_ *from, const Hall_ *to)
{
	const Report_ *r = find_report_(h, node_id, from, to);

	if (r)
		g_array_remove_index_fast(h->reports, (guint)(r - &g_array_index(h->reports, Report_, 0)));
}

/* Records what a node reports or withdraws. */
void bh__hall_paths_process_report(BH__HallPaths *h, const BH__PathReport *r, uint64_t now_us)
{
	Hall_ *from = r->from[0] ? add_(h, r->from) : NULL;
	Hall_ *to = r->to[0] ? add_(h, r->to) : NULL;

	if (!h->own->name[0] || !from || !to || from == to || r->node_id == h->own_node)
		return;
	if (r->is_lost)
		put_report_(h, r, from, to, now_us);
	else
		drop_report_(h, r->node_id, from, to);
	/* A node of this hall has got through: what failed before then doesn't count any more. */
	if (!r->is_lost && from == h->own && !to->is_lost)
		clear_evidence_(to);
	update_(h, now_us);
}

/* Sets the number of usable nodes in a hall. One without nodes serves nobody and carries nothing. */
void bh__hall_paths_set_nodes(BH__HallPaths *h, const char *name, uint32_t nodes)
{
	Hall_ *hall = add_(h, name);
	bool changed = hall && !hall->nodes != !nodes;

	if (hall)
		hall->nodes = nodes;
	if (changed && !h->is_whole)
		choose_serving_(h);
}

/* Drops reports that have expired, and resigns from reporting where enough other nodes do. */
void bh__hall_paths_process_tick(BH__HallPaths *h, uint64_t now_us)
{
	for (guint i = h->reports->len; i-- > 0;)
		if (now_us >= g_array_index(h->reports, Report_, i).received_us + REPORT_VALID_US_)
			g_array_remove_index_fast(h->reports, i);
	for (guint i = 1; i < h->halls->len; i++) {
		Hall_ *hall = g_ptr_array_index(h->halls, i);
		if (hall->is_lost && now_us >= hall->concluded_us + RESIGN_US_ &&
			count_reports_(h, h->own, hall, h->own_node) >= REPORTERS_KEPT_) {
			hall->is_lost = false;
			clear_evidence_(hall);
		}
		conclude_(h, hall, now_us);
	}
	update_(h, now_us);
}

/* Returns the hall to one of whose nodes or endpoints the caller connects now, to note the result; NULL:
 * none. Several may be due at once. */
const char *bh__hall_paths_take_probe(BH__HallPaths *h, uint64_t now_us)
{
	for (guint i = 0; i < h->halls->len; i++) {
		Hall_ *hall = g_ptr_array_index(h->halls, i);
		if (hall->probes_due) {
			hall->probes_due--;
			return hall->name;
		}
		if (is_probe_due_(h, hall, now_us)) {
			hall->next_probe_us = now_us + PROBE_PERIOD_US_;
			if (!hall->is_lost && !reached_elsewhere_(h, hall))
				h->own->probes_due = 1;
			return hall->name;
		}
	}
	return NULL;
}

/* Returns true if this node probes a hall now whose path is not open: it reports the path itself, or nobody
 * does yet. */
static bool is_probe_due_(const BH__HallPaths *h, const Hall_ *hall, uint64_t now_us)
{
	bool is_reported = !hall->is_lost && is_path_lost_(h, h->own, hall);

	return (hall->is_lost || hall->first_failed_us) && state_(h, hall) != BH__PATH_OPEN &&
		   now_us >= hall->next_probe_us && !is_reported;
}

/* Returns true, and stores the report, if this node has one to broadcast now. */
bool bh__hall_paths_take_report(BH__HallPaths *h, uint64_t now_us, BH__PathReport *out)
{
	for (guint i = 1; i < h->halls->len; i++) {
		Hall_ *hall = g_ptr_array_index(h->halls, i);
		if ((!hall->is_lost && !hall->withdrawals_due) || now_us < hall->next_report_us)
			continue;
		hall->withdrawals_due -= hall->withdrawals_due > 0;
		hall->next_report_us = now_us + REPORT_PERIOD_US_;
		out->node_id = h->own_node;
		g_strlcpy(out->from, h->own->name, sizeof out->from);
		g_strlcpy(out->to, hall->name, sizeof out->to);
		out->is_lost = hall->is_lost;
		out->hall_nodes = MAX(h->own->nodes, 1u);
		out->is_heard = hall->heard_us > hall->since_us;
		if (hall->is_lost)
			put_report_(h, out, h->own, hall, now_us);
		update_(h, now_us);
		return true;
	}
	return false;
}

/* Returns how many nodes with an id below `below` report that a path is lost. */
static unsigned count_reports_(const BH__HallPaths *h, const Hall_ *from, const Hall_ *to, uint64_t below)
{
	unsigned count = 0;

	for (guint i = 0; i < h->reports->len; i++) {
		const Report_ *r = &g_array_index(h->reports, Report_, i);
		count += r->from == from && r->to == to && r->node_id < below;
	}
	return count;
}

/* Returns true if enough nodes of `from` report that they don't reach `to`: two, or one if it is alone. */
static bool is_reported_(const BH__HallPaths *h, const Hall_ *from, const Hall_ *to)
{
	unsigned count = 0;

	for (guint i = 0; i < h->reports->len; i++) {
		const Report_ *r = &g_array_index(h->reports, Report_, i);
		if (r->from == from && r->to == to && (++count >= REPORTERS_MIN_ || r->hall_nodes <= 1))
			return true;
	}
	return false;
}

static bool is_path_lost_(const BH__HallPaths *h, const Hall_ *a, const Hall_ *b)
{
	return a != b && (is_reported_(h, a, b) || is_reported_(h, b, a));
}

/* Returns the state of the path to a hall, for this node: lost if it holds so itself or its hall's path is.
 */
static BH__PathState state_(const BH__HallPaths *h, const Hall_ *hall)
{
	if (hall->is_lost || is_path_lost_(h, h->own, hall))
		return BH__PATH_LOST;
	return hall->first_failed_us ? BH__PATH_DOUBTFUL : BH__PATH_OPEN;
}

/* Notes changes of the states, and who may serve all. */
static void update_(BH__HallPaths *h, uint64_t now_us)
{
	bool any_held = !h->is_whole && update_lost_paths_(h, now_us);
	bool is_whole = !h->reports->len && !any_held;

	for (guint i = 1; i < h->halls->len; i++) {
		Hall_ *hall = g_ptr_array_index(h->halls, i);
		BH__PathState state = state_(h, hall);
		is_whole &= state != BH__PATH_LOST;
		if (state == hall->known)
			continue;
		if (state == BH__PATH_LOST || hall->known == BH__PATH_LOST)
			h->version++;
		hall->since_us = state == BH__PATH_LOST && hall->first_failed_us ? hall->first_failed_us : now_us;
		if (state == BH__PATH_OPEN || (state == BH__PATH_DOUBTFUL && hall->known == BH__PATH_LOST)) {
			/* What failed before the path returned says nothing of it now. */
			clear_evidence_(hall);
			state = BH__PATH_OPEN;
		}
		hall->known = state;
	}
	if (is_whole && h->is_whole)
		return;
	if (h->is_whole)
		update_lost_paths_(h, now_us);
	h->is_whole = is_whole;
	choose_serving_(h);
}

/* Notes which paths are lost, and which count as lost for duties: those that are, at once, and those that
 * were until all have settled. Returns true if there is any. */
static bool update_lost_paths_(BH__HallPaths *h, uint64_t now_us)
{
	bool any = false;

	for (guint i = 0; i < h->halls->len; i++) {
		for (guint j = 0; j < h->halls->len; j++) {
			bool is_lost = is_path_lost_(h, g_ptr_array_index(h->halls, i), g_ptr_array_index(h->halls, j));
			if (is_lost != h->is_lost[i][j])
				h->changed_us = now_us;
			h->is_lost[i][j] = is_lost;
			h->counts_as_lost[i][j] |= is_lost;
		}
	}
	for (guint i = 0; i < h->halls->len; i++) {
		for (guint j = 0; j < h->halls->len; j++) {
			if (now_us >= h->changed_us + SETTLE_US_)
				h->counts_as_lost[i][j] = h->is_lost[i][j];
			any |= h->counts_as_lost[i][j];
		}
	}
	return any;
}

/* Chooses the halls whose nodes may have duties for others: of those that this node's hall reaches, directly
 * or over others, the ones with paths to the most of these. All that reach each other choose the same. */
static void choose_serving_(BH__HallPaths *h)
{
	bool reachable[BH__PATH_HALLS_MAX] = {true};
	bool adjacent[BH__PATH_HALLS_MAX] = {false}; /* reached from those, but without nodes */
	unsigned paths[BH__PATH_HALLS_MAX] = {0};
	unsigned max_paths = 0;

	find_reachable_(h, reachable);
	for (guint i = 0; i < h->halls->len; i++) {
		for (guint j = 0; j < h->halls->len; j++) {
			paths[i] += reachable[i] && reachable[j] && !h->counts_as_lost[i][j];
			adjacent[i] |= reachable[j] && !h->counts_as_lost[i][j];
		}
		max_paths = MAX(max_paths, paths[i]);
	}
	for (guint i = 0; i < h->halls->len; i++) {
		Hall_ *hall = g_ptr_array_index(h->halls, i);
		bool may_serve = reachable[i] && paths[i] == max_paths;
		bool is_together = reachable[i] || adjacent[i];
		if (may_serve != hall->may_serve || is_together != hall->is_together)
			h->version++;
		hall->may_serve = may_serve;
		hall->is_together = is_together;
	}
}

/* Adds to `reachable` the halls with nodes that those in it have a path to, directly or over one another. */
static void find_reachable_(const BH__HallPaths *h, bool reachable[BH__PATH_HALLS_MAX])
{
	for (bool grew = true; grew;) {
		grew = false;
		for (guint i = 0; i < h->halls->len; i++)
			for (guint j = 0; j < h->halls->len; j++)
				if (reachable[i] && !reachable[j] && !h->counts_as_lost[i][j] && has_nodes_(h, j))
					grew = reachable[j] = true;
	}
}

/* Returns true if nodes of a hall can do anything for others; this node can. */
static bool has_nodes_(const BH__HallPaths *h, guint index)
{
	const Hall_ *hall = g_ptr_array_index(h->halls, index);

	return hall->nodes || hall == h->own;
}

/* Returns the state of the path from this node's hall to another one. */
BH__PathState bh__hall_paths_get_state(const BH__HallPaths *h, const char *name)
{
	const Hall_ *hall = find_(h, name);

	return hall && hall != h->own ? state_(h, hall) : BH__PATH_OPEN;
}

/* Returns true if this node can't connect to a hall. */
bool bh__hall_paths_is_lost(const BH__HallPaths *h, const char *name)
{
	return !h->is_whole && bh__hall_paths_get_state(h, name) == BH__PATH_LOST;
}

/* Returns true unless the path between two halls is known to be lost. */
bool bh__hall_paths_has_path(const BH__HallPaths *h, const char *a, const char *b)
{
	const Hall_ *from = h->is_whole ? NULL : find_(h, a);
	const Hall_ *to = from ? find_(h, b) : NULL;

	return !to || !is_path_lost_(h, from, to);
}

/* Returns true if this node has a way to a hall: directly, or through a node of some hall. */
bool bh__hall_paths_is_reachable(const BH__HallPaths *h, const char *name)
{
	const Hall_ *hall = h->is_whole ? NULL : find_(h, name);

	return !hall || hall == h->own || state_(h, hall) != BH__PATH_LOST || find_detour_(h, hall);
}

/* Returns true if a hall other than `to` has paths to this node's hall and to `to`; the own hall counts if
 * its path is lost for this node alone. */
static bool find_detour_(const BH__HallPaths *h, const Hall_ *to)
{
	for (guint i = 0; i < h->halls->len; i++) {
		const Hall_ *via = g_ptr_array_index(h->halls, i);
		if (via != to && has_nodes_(h, i) && bh__hall_paths_may_relay(h, via->name, to->name))
			return true;
	}
	return false;
}

/* Returns true if a node in the hall `carrier` may connect to the hall `to` for this node. */
bool bh__hall_paths_may_relay(const BH__HallPaths *h, const char *carrier, const char *to)
{
	return !bh__hall_paths_is_lost(h, carrier) && bh__hall_paths_has_path(h, carrier, to);
}

/* Returns true if nodes of a hall may have duties for others. */
bool bh__hall_paths_may_serve(const BH__HallPaths *h, const char *name)
{
	const Hall_ *hall = h->is_whole ? NULL : find_(h, name);

	return !hall || hall->may_serve;
}

/* Returns true if this node's hall and another one plan endpoints together: there is a way between them, and
 * there has been for a while. Until then either plans its own, so that none is planned twice. */
bool bh__hall_paths_plans_together(const BH__HallPaths *h, const char *name)
{
	const Hall_ *hall = h->is_whole ? NULL : find_(h, name);

	return !hall || hall->is_together;
}

/* Returns true if messages from a hall came in after the path to it was lost, here or at another node of this
 * node's hall. */
static bool is_heard_(const BH__HallPaths *h, const Hall_ *hall)
{
	for (guint i = 0; i < h->reports->len; i++) {
		const Report_ *r = &g_array_index(h->reports, Report_, i);
		if (r->from == h->own && r->to == hall && r->is_heard)
			return true;
	}
	return hall->heard_us > hall->since_us;
}

/* Returns a number that grows whenever a path is lost or back, or other halls may serve. */
uint64_t bh__hall_paths_get_version(const BH__HallPaths *h)
{
	return h->version;
}

/* Returns the number of other halls that are known. */
unsigned bh__hall_paths_get_count(const BH__HallPaths *h)
{
	return h->halls->len - 1;
}

/* Describes the path to one of the other halls, by index. */
void bh__hall_paths_get_info(const BH__HallPaths *h, unsigned index, BH__PathInfo *out)
{
	const Hall_ *hall = g_ptr_array_index(h->halls, index + 1);

	memset(out, 0, sizeof *out);
	g_strlcpy(out->hall, hall->name, sizeof out->hall);
	out->state = state_(h, hall);
	out->is_heard = out->state != BH__PATH_LOST || is_heard_(h, hall);
	out->since_us = hall->since_us;
	out->failures = hall->target_count;
	out->reporters =
		count_reports_(h, h->own, hall, UINT64_MAX) + count_reports_(h, hall, h->own, UINT64_MAX);
	out->has_detour = find_detour_(h, hall);
}
