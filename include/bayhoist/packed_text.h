/* SPDX-License-Identifier: BSD-3-Clause */
/* A text that is packed (zlib) to be sent to other nodes. */
#ifndef BAYHOIST_PACKED_TEXT_H
#define BAYHOIST_PACKED_TEXT_H

#include "bayhoist/types.h"

#define BH__PACKED_TEXT_MAX (16u * 1024 * 1024) /* bytes of a text; the platform's largest value has 1 MB */

/* The zeroed one holds no text. */
typedef struct {
	uint8_t *data;
	uint32_t len;
	uint32_t text_len; /* bytes that the text has */
} BH__PackedText;

void bh__packed_text_set(BH__PackedText *p, const char *text);
void bh__packed_text_copy(BH__PackedText *p, const BH__PackedText *from);
void bh__packed_text_clear(BH__PackedText *p);
char *bh__packed_text_open(const BH__PackedText *p);

#endif
