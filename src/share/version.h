/* SPDX-License-Identifier: BSD-3-Clause */
#ifndef BAYHOIST_SHARE_VERSION_H
#define BAYHOIST_SHARE_VERSION_H
#define BAYHOIST_VERSION "0.1.0"
#endif
