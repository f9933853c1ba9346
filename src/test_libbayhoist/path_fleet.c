/* SPDX-License-Identifier: BSD-3-Clause */
/* Plays hall_paths.c of the gateway, its schedulers and its connections on virtual time. */
#include "path_fleet.h"

#include <stdio.h>

#define TICK_MS 100
#define PEERS_MAX 6
#define SERVICE_KEY 77
/* Connections that stood before a cut carry bytes the open way for this time, until nothing is acknowledged.
 */
#define OPEN_LIVES_US BH__SECOND_US

typedef struct {
	unsigned node;
	char hall[BH__NAME_LEN];
	uint64_t target;
} Probe;

static bool passes_(const MemberFleet *m, unsigned from, unsigned to);
static void on_message_(MemberNode *n, const BH__Message *m);
static bool connects_(const PathFleet *f, unsigned from, unsigned to);
static void tick_(PathNode *n);
static void make_probe_(PathNode *n, const char *hall);
static void end_probes_(PathFleet *f);
static void request_(PathFleet *f, unsigned node);
static bool reach_(PathNode *n, unsigned endpoint);
static bool relay_(PathNode *n, unsigned endpoint);
static const char *name_(unsigned hall);

static const char *name_(unsigned hall)
{
	static const char *const Names[PATH_HALLS_MAX] = {"hall-0", "hall-1", "hall-2", "hall-3", "hall-4"};

	return Names[hall];
}

PathFleet *path_fleet_new(unsigned count, unsigned halls)
{
	PathFleet *f = g_new0(PathFleet, 1);

	f->members = member_fleet_new_in_halls(count, halls);
	f->members->passes = passes_;
	f->members->on_message = on_message_;
	f->members->user = f;
	f->node = g_new0(PathNode, count);
	f->count = count;
	f->halls = halls;
	f->rand = g_rand_new_with_seed(count);
	f->probes = g_array_new(FALSE, FALSE, sizeof(Probe));
	for (unsigned i = 0; i < count; i++) {
		PathNode *n = &f->node[i];
		n->fleet = f;
		n->hall = i % halls;
		n->node = &f->members->node[i];
		n->node->user = n;
		n->paths = bh__hall_paths_new(name_(n->hall), n->node->id);
		n->peers = bh__relay_peers_new(i + 1);
		bh__members_set_paths(n->node->members, n->paths);
	}
	return f;
}

void path_fleet_delete(PathFleet *f)
{
	for (unsigned i = 0; i < f->count; i++) {
		bh__members_set_paths(f->node[i].node->members, NULL);
		bh__hall_paths_delete(f->node[i].paths);
		bh__relay_peers_delete(f->node[i].peers);
	}
	member_fleet_delete(f->members);
	g_array_unref(f->probes);
	g_rand_free(f->rand);
	g_free(f->node);
	g_free(f);
}

/* Returns whether what one node sends arrives: over connections that stood before the cut for a while in the
 * direction that is open, and then only where a new one can be set up. */
static bool passes_(const MemberFleet *m, unsigned from, unsigned to)
{
	const PathFleet *f = m->user;
	unsigned a = f->node[from].hall;
	unsigned b = f->node[to].hall;

	if (f->is_dead[a][b] || f->is_dark[a] || f->is_dark[b])
		return false;
	return !f->is_dead[b][a] || m->now_us < f->dead_since_us + OPEN_LIVES_US;
}

/* Returns whether a node can connect to a machine in a hall. */
static bool connects_(const PathFleet *f, unsigned from, unsigned to)
{
	return !f->is_dead[from][to] && !f->is_dead[to][from] && !f->is_dark[to];
}

void path_fleet_cut(PathFleet *f, unsigned from, unsigned to, bool is_dead)
{
	f->is_dead[from][to] = is_dead;
	f->dead_since_us = f->members->now_us;
}

void path_fleet_heal(PathFleet *f)
{
	for (unsigned a = 0; a < f->halls; a++)
		for (unsigned b = 0; b < f->halls; b++)
			f->is_dead[a][b] = false;
}

static void on_message_(MemberNode *node, const BH__Message *m)
{
	PathNode *n = node->user;
	uint64_t now_us = n->fleet->members->now_us;
	const BH__MemberInfo *from = bh__members_find(node->members, m->from_node);

	if (from)
		bh__hall_paths_note_heard(n->paths, from->hall, now_us);
	if (m->type != BH__MESSAGE_HALL_PATHS)
		return;
	bh__hall_paths_process_report(n->paths, &m->as.hall_paths.report, now_us);
	bh__members_forward(node->members, m);
}

/* Lets time pass, with `requests_per_tick` requests of callers at nodes drawn at random. */
void path_fleet_run(PathFleet *f, unsigned ms, unsigned requests_per_tick)
{
	for (unsigned done = 0; done < ms; done += TICK_MS) {
		for (unsigned i = 0; i < f->count; i++)
			f->node[i].node->unresponsive = f->is_killed[f->node[i].hall] || f->is_dark[f->node[i].hall];
		member_fleet_run(f->members, TICK_MS);
		end_probes_(f);
		for (unsigned i = 0; i < f->count; i++)
			if (!f->node[i].node->unresponsive)
				tick_(&f->node[i]);
		member_fleet_deliver_pending(f->members);
		for (unsigned i = 0; i < requests_per_tick; i++)
			request_(f, (unsigned)g_rand_int_range(f->rand, 0, (gint32)f->count));
		member_fleet_deliver_pending(f->members);
	}
}

static void tick_(PathNode *n)
{
	uint64_t now_us = n->fleet->members->now_us;
	BH__Message m = {.type = BH__MESSAGE_HALL_PATHS};
	uint64_t scheduler;
	const char *hall;

	bh__members_tell_halls(n->node->members, n->paths);
	bh__hall_paths_process_tick(n->paths, now_us);
	while ((hall = bh__hall_paths_take_probe(n->paths, now_us)))
		make_probe_(n, hall);
	while (bh__hall_paths_take_report(n->paths, now_us, &m.as.hall_paths.report)) {
		n->reports++;
		bh__members_broadcast(n->node->members, &m);
	}
	if (n->version != bh__hall_paths_get_version(n->paths)) {
		n->version = bh__hall_paths_get_version(n->paths);
		bh__members_process_paths(n->node->members);
		for (unsigned i = 0; i < n->fleet->halls; i++)
			n->losses += bh__hall_paths_is_lost(n->paths, name_(i));
	}
	scheduler = bh__members_pick(n->node->members, SERVICE_KEY, NULL);
	n->moves += n->scheduler && n->scheduler != scheduler;
	n->scheduler = scheduler;
	for (unsigned i = 1; i < bh__members_get_count(n->node->members); i++) {
		n->ever_dead += bh__members_get(n->node->members, i)->state == BH__MEMBER_DEAD;
		n->ever_doubt += bh__members_get(n->node->members, i)->state == BH__MEMBER_SUSPECT;
	}
}

/* Connects to a node of a hall; without an answer the probe ends with the next tick. */
static void make_probe_(PathNode *n, const char *hall)
{
	PathFleet *f = n->fleet;
	unsigned start = (unsigned)g_rand_int_range(f->rand, 0, (gint32)f->count);

	for (unsigned i = 0; i < f->count; i++) {
		const PathNode *to = &f->node[(start + i) % f->count];
		Probe p = {.node = (unsigned)(n - f->node), .target = to->node->id};
		if (to == n || strcmp(name_(to->hall), hall) != 0)
			continue;
		n->probes++;
		g_strlcpy(p.hall, hall, sizeof p.hall);
		if (connects_(f, n->hall, to->hall))
			bh__hall_paths_note_reached(n->paths, hall, f->members->now_us);
		else
			g_array_append_val(f->probes, p);
		return;
	}
}

static void end_probes_(PathFleet *f)
{
	for (guint i = 0; i < f->probes->len; i++) {
		const Probe *p = &g_array_index(f->probes, Probe, i);
		bh__hall_paths_note_failed(f->node[p->node].paths, p->hall, p->target, f->members->now_us);
	}
	g_array_set_size(f->probes, 0);
}

/* Plays a first try: the node asks the scheduler, which draws an endpoint that it has a way to; the node
 * reaches it, directly or through a peer. */
static void request_(PathFleet *f, unsigned node)
{
	PathNode *n = &f->node[node];
	uint64_t id;
	PathNode *scheduler = NULL;
	unsigned start = (unsigned)g_rand_int_range(f->rand, 0, PATH_ENDPOINTS);

	if (n->node->unresponsive)
		return;
	id = bh__members_pick(n->node->members, SERVICE_KEY, NULL);
	for (unsigned i = 0; i < f->count; i++)
		if (f->node[i].node->id == id)
			scheduler = &f->node[i];
	f->asked[n->hall]++;
	if (!scheduler || scheduler->node->unresponsive || !connects_(f, n->hall, scheduler->hall))
		return;
	for (unsigned i = 0; i < PATH_ENDPOINTS; i++) {
		unsigned endpoint = (start + i) % PATH_ENDPOINTS;
		if (!f->ignores_paths &&
			(!bh__hall_paths_is_reachable(scheduler->paths, name_(endpoint % f->halls)) ||
			 !bh__hall_paths_plans_together(scheduler->paths, name_(endpoint % f->halls))))
			continue;
		f->served[n->hall] += reach_(n, endpoint);
		return;
	}
}

/* Returns whether a node reaches an endpoint, and has it learn from that. */
static bool reach_(PathNode *n, unsigned endpoint)
{
	PathFleet *f = n->fleet;
	const char *hall = name_(endpoint % f->halls);

	if (!f->ignores_paths && bh__hall_paths_is_lost(n->paths, hall))
		return relay_(n, endpoint);
	if (connects_(f, n->hall, endpoint % f->halls) && !f->silent[endpoint]) {
		bh__hall_paths_note_reached(n->paths, hall, f->members->now_us);
		return true;
	}
	bh__hall_paths_note_failed(n->paths, hall, endpoint + 1, f->members->now_us);
	return !f->ignores_paths && relay_(n, endpoint);
}

static bool relay_(PathNode *n, unsigned endpoint)
{
	PathFleet *f = n->fleet;
	unsigned hall = endpoint % f->halls;
	uint64_t asked[PEERS_MAX];

	for (unsigned count = 0; count < PEERS_MAX; count++) {
		uint64_t id = bh__relay_peers_pick_for(n->peers, n->node->members, name_(hall), asked, count,
											   f->members->now_us);
		PathNode *peer = NULL;
		for (unsigned i = 0; i < f->count; i++)
			if (f->node[i].node->id == id)
				peer = &f->node[i];
		if (!peer)
			return false;
		asked[count] = id;
		if (connects_(f, n->hall, peer->hall) && connects_(f, peer->hall, hall) && !f->silent[endpoint]) {
			peer->for_peer++;
			return true;
		}
	}
	return false;
}

void path_fleet_reset_counts(PathFleet *f)
{
	memset(f->asked, 0, sizeof f->asked);
	memset(f->served, 0, sizeof f->served);
	for (unsigned i = 0; i < f->count; i++) {
		f->node[i].probes = 0;
		f->node[i].reports = 0;
		f->node[i].losses = 0;
		f->node[i].moves = 0;
	}
}

/* Returns how many of 100 first tries at nodes of a hall were served; 100 if there was none. */
unsigned path_fleet_get_share(const PathFleet *f, unsigned hall)
{
	return f->asked[hall] ? f->served[hall] * 100 / f->asked[hall] : 100;
}

/* Returns the number of paths that nodes hold for lost, each node's counted. */
unsigned path_fleet_count_lost(const PathFleet *f)
{
	unsigned count = 0;

	for (unsigned i = 0; i < f->count; i++)
		for (unsigned hall = 0; hall < f->halls; hall++)
			count += bh__hall_paths_is_lost(f->node[i].paths, name_(hall));
	return count;
}

/* Returns how many records of other nodes, in all tables of nodes that live, have a state. */
unsigned path_fleet_count_members(const PathFleet *f, BH__MemberState state)
{
	unsigned count = 0;

	for (unsigned i = 0; i < f->count; i++)
		for (unsigned j = 1;
			 !f->node[i].node->unresponsive && j < bh__members_get_count(f->node[i].node->members); j++)
			count += bh__members_get(f->node[i].node->members, j)->state == state;
	return count;
}
