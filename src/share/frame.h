/* SPDX-License-Identifier: BSD-3-Clause */
/* Frames between nodes: length, sequence number, keyed hash, body. The receiving side opens each connection
 * with a fresh nonce that goes into every hash, so that a stranger can neither join nor replay. */
#ifndef BAYHOIST_SHARE_FRAME_H
#define BAYHOIST_SHARE_FRAME_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FRAME_NONCE_LEN 16 /* bytes */
#define FRAME_MAC_LEN 16   /* bytes of HMAC-SHA256 that are sent */
#define FRAME_HEADER_LEN (4 + 8 + FRAME_MAC_LEN)
#define FRAME_BODY_MAX (64u * 1024 * 1024) /* bytes: a whole configuration fits */
#define FRAME_FIRST_BODY_MAX                                                                                 \
	256 /* of a connection's first frame, which shows that its sender has the key                            \
		 */

typedef struct {
	unsigned char key[32];
	unsigned char nonce[FRAME_NONCE_LEN];
	uint64_t next_sequence;
} FrameSession;

typedef enum { FRAME_INCOMPLETE, FRAME_OK, FRAME_BAD } FrameStatus;

void frame_set_key(FrameSession *s, const char *secret);
void frame_reverse(const FrameSession *s, FrameSession *out);
void frame_write(FrameSession *s, struct evbuffer *out, const char *body, size_t len);
FrameStatus frame_read(FrameSession *s, struct evbuffer *in, char **body, size_t *len);

#endif
