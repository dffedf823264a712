#!/usr/bin/env bash
# Generates proto/generated/ from proto/mustardplank.proto with Debian's protoc and grpc_cpp_plugin. Run it after a
# change of the .proto file and commit the result; the build uses the committed files.
set -euo pipefail
cd "$(dirname "$0")/../proto"
mkdir -p generated
protoc --cpp_out=generated --grpc_out=generated --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" mustardplank.proto
