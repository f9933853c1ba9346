/* SPDX-License-Identifier: BSD-3-Clause */
/* Cluster membership: probes detect failed nodes, and the probes themselves carry updates (SWIM: Das, Gupta,
 * Motivala, DSN 2002). The table is soft state, and nothing that must happen at most once relies on it. */
#ifndef BAYHOIST_MEMBERS_H
#define BAYHOIST_MEMBERS_H

#include "bayhoist/message.h"

typedef struct BH__Members BH__Members;

/* Callbacks of the member table: `send` delivers a message to a peer address, `changed` reports a new state.
 */
typedef struct BH__MembersPort {
	void (*send)(struct BH__MembersPort *port, const char *peer_address, BH__Message *m);
	void (*changed)(struct BH__MembersPort *port, const BH__MemberInfo *now, BH__MemberState old_state);
} BH__MembersPort;

BH__Members *bh__members_new(BH__MembersPort *port, const BH__MemberInfo *self, uint32_t seed);
void bh__members_delete(BH__Members *m);
void bh__members_add_seed(BH__Members *m, const char *peer_address);
void bh__members_add_unconfirmed(BH__Members *m, const BH__MemberInfo *info, uint64_t now_us);
bool bh__members_await(BH__Members *m, uint64_t node_id, uint64_t now_us);
void bh__members_process_tick(BH__Members *m, uint64_t now_us);
bool bh__members_process_message(BH__Members *m, const BH__Message *msg, uint64_t now_us);
void bh__members_process_unreachable(BH__Members *m, uint64_t node_id, uint64_t now_us);
void bh__members_set_self(BH__Members *m, bool leaving, uint64_t config_revision, uint32_t load);
void bh__members_set_quarantine(BH__Members *m, uint64_t hash);
void bh__members_set_paths(BH__Members *m, BH__HallPaths *paths);
const BH__HallPaths *bh__members_get_paths(const BH__Members *m);
void bh__members_process_paths(BH__Members *m);
void bh__members_announce(BH__Members *m);
void bh__members_broadcast(BH__Members *m, BH__Message *msg);
void bh__members_forward(BH__Members *m, const BH__Message *msg);
void bh__members_forget(BH__Members *m, uint64_t node_id);
const BH__MemberInfo *bh__members_get_self(const BH__Members *m);
const BH__MemberInfo *bh__members_find(const BH__Members *m, uint64_t node_id);
unsigned bh__members_get_count(const BH__Members *m);
const BH__MemberInfo *bh__members_get(const BH__Members *m, unsigned index);
uint64_t bh__members_get_version(const BH__Members *m);
bool bh__member_is_usable(const BH__MemberInfo *info);
void bh__members_tell_halls(const BH__Members *m, BH__HallPaths *paths);
bool bh__members_is_connected(const BH__Members *m, const BH__MemberInfo *info);
uint64_t bh__members_pick(const BH__Members *m, uint64_t key, const char *hall);
uint64_t bh__members_pick_except(const BH__Members *m, uint64_t key, const char *hall, const uint64_t *except,
								 unsigned except_count);
unsigned bh__members_get_rank(const BH__Members *m, uint64_t key, const char *hall);
unsigned bh__members_sample(BH__Members *m, const BH__MemberInfo **out, unsigned max);

#endif
