#!/usr/bin/env bash
# Clients of orders wait for a slot of two busy backends, while four machines that aren't
# beside these backends are stopped and started in turn, 2 s apart. TROUBLE=0 leaves the
# stops out.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
export REPOSITORY=../.. ITEMS=items.json
[ -x ../target/rolling ] && [ -x ../../target/savorygap-node ] || { echo "build first: deploy file and review/build.sh"; exit 2; }
exec ../target/rolling -clients 14 -slots 12 -work 2s -deadline 30s -gap 2s -fresh -order 1,3,4,6
