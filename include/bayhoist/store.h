/* SPDX-License-Identifier: BSD-3-Clause */
/* Client of the platform's key-value store. The application supplies a port that carries calls to the store.
 * The client enforces the call budget, applies time-outs and passes each reply to the owner of its call. */
#ifndef BAYHOIST_STORE_H
#define BAYHOIST_STORE_H

#include <stddef.h>
#include "bayhoist/types.h"

/* Operation of a call. */
typedef enum {
	BH__STORE_GET,
	BH__STORE_PUT,
	BH__STORE_CAS, /* compare-and-swap: put if the key's mod_revision is `expect_revision` */
	BH__STORE_LEASE_GRANT,
	BH__STORE_LEASE_RENEW
} BH__StoreOp;

/* Result of a call. */
typedef enum {
	BH__STORE_OK,
	BH__STORE_NOT_FOUND, /* the key does not exist */
	BH__STORE_CONFLICT,  /* the comparison failed; nothing was written */
	BH__STORE_NOT_SENT,  /* rejected by the call budget or the back-off; nothing was written */
	BH__STORE_UNKNOWN    /* no reply; the call may have taken effect or may still do so */
} BH__StoreStatus;

/* A call to the store. Fields that the operation does not use are 0 or NULL. */
typedef struct {
	uint64_t call_id; /* set by bh__store_call() */
	BH__StoreOp op;
	const char *key;
	const char *value;
	size_t value_len;         /* bytes */
	uint64_t expect_revision; /* mod_revision that a compare-and-swap requires; 0: the key must not exist */
	int64_t lease_id;         /* lease that a write is bound to or that is renewed; 0: none */
	uint32_t ttl_s;           /* time to live of a new lease */
} BH__StoreCall;

/* The reply to a call. Fields that the operation does not return are 0 or NULL. */
typedef struct {
	uint64_t call_id;
	BH__StoreStatus status;
	uint64_t mod_revision; /* revision of the key after the call; serves as fencing token of a lease key */
	const char *value;
	size_t value_len; /* bytes */
	int64_t lease_id;
} BH__StoreReply;

/* Transport to the store. The port passes each reply to bh__store_process_reply(). */
typedef struct BH__StorePort {
	void (*call)(struct BH__StorePort *port, const BH__StoreCall *call);
} BH__StorePort;

/* Called with the reply to a call; the reply is valid only during the callback. */
typedef void (*BH__StoreDone)(void *owner, const BH__StoreReply *reply, uint64_t now_us);

typedef struct BH__Store BH__Store;

BH__Store *bh__store_new(BH__StorePort *port, double reads_per_s, double writes_per_s);
void bh__store_delete(BH__Store *s);
void bh__store_call(BH__Store *s, BH__StoreCall *call, BH__StoreDone done, void *owner, uint64_t now_us);
void bh__store_process_reply(BH__Store *s, const BH__StoreReply *reply, uint64_t now_us);
void bh__store_process_tick(BH__Store *s, uint64_t now_us);
void bh__store_cancel_callbacks(BH__Store *s, const void *owner);
bool bh__store_is_available(const BH__Store *s);

#endif
