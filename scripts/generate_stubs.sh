#!/usr/bin/env bash
# Regenerates the JSON-RPC stubs from schema/operator.json. Requires the Debian package libjsonrpccpp-tools.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p generated/operatorrpc
cd generated/operatorrpc
jsonrpcstub ../../schema/operator.json \
    --cpp-server=turmericsill::operators::generated::AbstractOperatorServer \
    --cpp-client=turmericsill::operators::generated::OperatorClient
