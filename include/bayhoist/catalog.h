/* SPDX-License-Identifier: BSD-3-Clause */
/* The set of all resources at one revision. A catalog is stored in chunks, because the store limits the size
 * of a value: each kind has BH__CHUNKS_PER_KIND chunks. */
#ifndef BAYHOIST_CATALOG_H
#define BAYHOIST_CATALOG_H

#include "bayhoist/resource.h"

#define BH__CHUNKS_PER_KIND 8
#define BH__CHUNK_COUNT (BH__KIND_COUNT * BH__CHUNKS_PER_KIND)

typedef struct BH__Catalog BH__Catalog;

/* An invalid change, or a change whose precondition does not hold. */
typedef enum { BH__CATALOG_ERROR_INVALID, BH__CATALOG_ERROR_CONFLICT } BH__CatalogError;

#define BH__CATALOG_ERROR (bh__catalog_error_quark())
GQuark bh__catalog_error_quark(void);

BH__Catalog *bh__catalog_new(void);
BH__Catalog *bh__catalog_copy(const BH__Catalog *c);
void bh__catalog_delete(BH__Catalog *c);
const BH__Resource *bh__catalog_find(const BH__Catalog *c, BH__Kind kind, uint64_t id);
const GPtrArray *bh__catalog_get_all(const BH__Catalog *c, BH__Kind kind);
const BH__Policy *bh__catalog_get_policy(const BH__Catalog *c);
bool bh__catalog_is_leaving(const BH__Catalog *c, const BH__Endpoint *e);
bool bh__catalog_check_change(struct json_object *change, GError **error);
bool bh__catalog_apply(BH__Catalog *c, struct json_object *change, GError **error);
bool bh__catalog_check_references(const BH__Catalog *c, GError **error);
char *bh__catalog_write_chunk(const BH__Catalog *c, unsigned chunk);
bool bh__catalog_read_chunk(BH__Catalog *c, unsigned chunk, const char *text, size_t len, GError **error);

#endif
