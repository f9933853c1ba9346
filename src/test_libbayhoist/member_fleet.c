/* SPDX-License-Identifier: BSD-3-Clause */
/* A fleet of nodes on virtual time. */
#include "member_fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include "bayhoist/hash.h"

#define TICK_MS 100
#define HALLS 5

/* A message in transit. */
typedef struct {
	unsigned from; /* index of the sending node */
	unsigned to;   /* index of the receiving node */
	char *data;    /* encoded message, owned */
	size_t len;    /* of `data`, in bytes */
} PendingMessage;

/* Queues a message and counts it. */
static void send_(BH__MembersPort *port, const char *address, BH__Message *m)
{
	MemberNode *n = (MemberNode *)port;
	PendingMessage *p = g_new0(PendingMessage, 1);

	p->from = (unsigned)(n - n->fleet->node);
	p->to = GPOINTER_TO_UINT(g_hash_table_lookup(n->fleet->by_address, address)) - 1;
	p->data = bh__message_encode(m, &p->len);
	n->sent++;
	g_hash_table_add(n->peers, GUINT_TO_POINTER(p->to + 1));
	n->fleet->bytes += p->len;
	n->fleet->type_bytes[m->type] += p->len;
	n->bytes += p->len;
	if (m->type == BH__MESSAGE_MEMBERS) {
		n->fleet->records += m->as.members.count;
		n->fleet->tables++;
	}
	g_queue_push_tail(&n->fleet->pending, p);
}

static void changed_(BH__MembersPort *port, const BH__MemberInfo *now, BH__MemberState old)
{
	(void)port;
	(void)now;
	(void)old;
}

/* Returns the initial record of the node with index `i`. */
BH__MemberInfo member_fleet_make_info(unsigned i)
{
	BH__MemberInfo info = {.boot_id = 5};

	snprintf(info.name, sizeof info.name, "front-hall-%u", i);
	snprintf(info.hall, sizeof info.hall, "hall-%u", i % HALLS);
	snprintf(info.peer_address, sizeof info.peer_address, "10.%u.%u.%u:7340", i % HALLS, i / 250, i % 250);
	snprintf(info.caller_address, sizeof info.caller_address, "10.%u.%u.%u:8227", i % HALLS, i / 250,
			 i % 250);
	info.node_id = bh__hash_name(info.name);
	return info;
}

/* Returns a fleet in five halls in which all nodes know all others. */
MemberFleet *member_fleet_new(unsigned count)
{
	return member_fleet_new_in_halls(count, HALLS);
}

/* Returns a fleet in `halls` halls, "hall-0" and so on, to which the nodes belong in turn. */
MemberFleet *member_fleet_new_in_halls(unsigned count, unsigned halls)
{
	MemberFleet *f = g_new0(MemberFleet, 1);
	BH__MemberInfo *all = g_new0(BH__MemberInfo, count);
	BH__Message table = {.type = BH__MESSAGE_MEMBERS, .as.members = {.count = count, .member = all}};

	f->count = count;
	f->now_us = BH__SECOND_US;
	f->node = g_new0(MemberNode, count);
	f->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	for (unsigned i = 0; i < count; i++) {
		all[i] = member_fleet_make_info(i);
		snprintf(all[i].hall, sizeof all[i].hall, "hall-%u", i % halls);
	}
	for (unsigned i = 0; i < count; i++) {
		MemberNode *n = &f->node[i];
		n->port = (BH__MembersPort){.send = send_, .changed = changed_};
		n->fleet = f;
		n->peers = g_hash_table_new(g_direct_hash, g_direct_equal);
		n->id = all[i].node_id;
		g_strlcpy(n->address, all[i].peer_address, sizeof n->address);
		n->members = bh__members_new(&n->port, &all[i], i + 1);
		bh__members_process_message(n->members, &table, f->now_us);
		g_hash_table_insert(f->by_address, n->address, GUINT_TO_POINTER(i + 1));
	}
	g_free(all);
	return f;
}

void member_fleet_delete(MemberFleet *f)
{
	for (unsigned i = 0; i < f->count; i++) {
		bh__members_delete(f->node[i].members);
		g_hash_table_unref(f->node[i].peers);
	}
	g_hash_table_unref(f->by_address);
	g_free(f->node);
	g_free(f);
}

/* Delivers messages until none is in transit. */
void member_fleet_deliver_pending(MemberFleet *f)
{
	PendingMessage *p;

	while ((p = g_queue_pop_head(&f->pending))) {
		MemberNode *n = &f->node[p->to];
		BH__Message m;
		bool passes = !n->unresponsive && (!f->passes || f->passes(f, p->from, p->to));
		if (passes && bh__message_decode(&m, p->data, p->len, NULL)) {
			if (!bh__members_process_message(n->members, &m, f->now_us) && f->on_message)
				f->on_message(n, &m);
			bh__message_finish(&m);
		}
		free(p->data);
		g_free(p);
	}
}

/* Advances virtual time by `ms`, with a tick of all responsive nodes every 100 ms. */
void member_fleet_run(MemberFleet *f, unsigned ms)
{
	for (unsigned done = 0; done < ms; done += TICK_MS) {
		f->now_us += TICK_MS * BH__MS_US;
		for (unsigned i = 0; i < f->count; i++)
			if (!f->node[i].unresponsive)
				bh__members_process_tick(f->node[i].members, f->now_us);
		member_fleet_deliver_pending(f);
	}
}

/* Sends a message to a node, which may be the sender itself. Does nothing if the sender does not know the
 * node. */
void member_fleet_send(MemberNode *n, uint64_t node_id, BH__Message *m)
{
	const BH__MemberInfo *self = bh__members_get_self(n->members);
	const BH__MemberInfo *info = node_id == self->node_id ? self : bh__members_find(n->members, node_id);

	m->from_node = self->node_id;
	m->from_boot = self->boot_id;
	if (info)
		send_(&n->port, info->peer_address, m);
}

/* Resets the counts of messages and bytes sent; those of tables, records and types stay. */
void member_fleet_reset_counts(MemberFleet *f)
{
	f->bytes = 0;
	for (unsigned i = 0; i < f->count; i++) {
		f->node[i].sent = 0;
		f->node[i].bytes = 0;
	}
}

/* Returns the largest number of messages that a single node has sent. */
unsigned member_fleet_get_busiest(const MemberFleet *f)
{
	unsigned most = 0;

	for (unsigned i = 0; i < f->count; i++)
		most = MAX(most, f->node[i].sent);
	return most;
}

/* Returns the number of messages that all nodes have sent. */
unsigned member_fleet_get_total(const MemberFleet *f)
{
	unsigned total = 0;

	for (unsigned i = 0; i < f->count; i++)
		total += f->node[i].sent;
	return total;
}

/* Returns the largest number of bytes that a single node has sent. */
uint64_t member_fleet_get_busiest_bytes(const MemberFleet *f)
{
	uint64_t most = 0;

	for (unsigned i = 0; i < f->count; i++)
		most = MAX(most, f->node[i].bytes);
	return most;
}
