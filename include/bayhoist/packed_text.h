/* SPDX-License-Identifier: BSD-3-Clause */
/* Zlib-compressed text for transfer between nodes. */
#ifndef BAYHOIST_PACKED_TEXT_H
#define BAYHOIST_PACKED_TEXT_H

#include "bayhoist/types.h"

#define BH__PACKED_TEXT_MAX                                                                                  \
	(16u * 1024 * 1024) /* Longest uncompressed text, bytes; the platform's store limits a value to 1 MB */

/* A compressed text. A zeroed struct holds no text. */
typedef struct {
	uint8_t *data;     /* compressed bytes, owned; NULL: no text */
	uint32_t len;      /* length of `data`, bytes */
	uint32_t text_len; /* length of the uncompressed text, bytes */
} BH__PackedText;

void bh__packed_text_compress(BH__PackedText *p, const char *text);
void bh__packed_text_copy(BH__PackedText *p, const BH__PackedText *from);
void bh__packed_text_clear(BH__PackedText *p);
char *bh__packed_text_decompress(const BH__PackedText *p);

#endif
