#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace acaciastile
{

/// A folder that ends with the test.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string name =
            std::filesystem::temp_directory_path() / "acaciastile-XXXXXX";
        if (::mkdtemp(name.data()) == nullptr)
        {
            throw std::runtime_error("cannot make a temporary folder");
        }
        path_ = name;
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    [[nodiscard]] std::string file(const std::string& name) const
    {
        return path_ / name;
    }

private:
    std::filesystem::path path_;
};

} // namespace acaciastile
