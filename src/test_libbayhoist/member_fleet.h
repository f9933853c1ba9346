/* SPDX-License-Identifier: BSD-3-Clause */
/* A fleet of nodes on virtual time that exchange encoded messages. It counts what each node sends. Membership
 * processes its own messages; the others go to a callback of the test. */
#ifndef TEST_MEMBER_FLEET_H
#define TEST_MEMBER_FLEET_H

#include "bayhoist/members.h"

typedef struct MemberFleet MemberFleet;

typedef struct {
	BH__MembersPort port; /* must be first: membership passes it to the callbacks */
	MemberFleet *fleet;
	BH__Members *members;
	void *user; /* owned by the test; NULL: none */
	uint64_t id;
	char address[BH__ADDRESS_LEN];
	bool unresponsive; /* it neither ticks nor receives messages */
	unsigned sent;     /* messages since the counts were reset */
	uint64_t bytes;    /* sent since the counts were reset */
	GHashTable *peers; /* set of index + 1 of the nodes that it has sent to */
} MemberNode;

struct MemberFleet {
	MemberNode *node;
	unsigned count;
	/* called for messages that do not belong to membership; NULL: they are dropped */
	void (*on_message)(MemberNode *n, const BH__Message *m);
	/* whether a message passes from one node to another, by index; NULL: all do */
	bool (*passes)(const MemberFleet *f, unsigned from, unsigned to);
	void *user;                                  /* owned by the test */
	GHashTable *by_address;                      /* peer address -> index of the node + 1 */
	GQueue pending;                              /* PendingMessage *: not delivered yet */
	uint64_t bytes;                              /* sent by all nodes since the counts were reset */
	unsigned records;                            /* member records in all tables sent */
	unsigned tables;                             /* messages with member tables sent */
	uint64_t type_bytes[BH__MESSAGE_TYPE_COUNT]; /* sent, by type of message */
	uint64_t now_us;
};

BH__MemberInfo member_fleet_make_info(unsigned i);
MemberFleet *member_fleet_new(unsigned count);
MemberFleet *member_fleet_new_in_halls(unsigned count, unsigned halls);
void member_fleet_delete(MemberFleet *f);
void member_fleet_send(MemberNode *n, uint64_t node_id, BH__Message *m);
void member_fleet_deliver_pending(MemberFleet *f);
void member_fleet_run(MemberFleet *f, unsigned ms);
void member_fleet_reset_counts(MemberFleet *f);
unsigned member_fleet_get_busiest(const MemberFleet *f);
uint64_t member_fleet_get_busiest_bytes(const MemberFleet *f);
unsigned member_fleet_get_total(const MemberFleet *f);

#endif
