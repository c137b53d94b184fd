/* Starts the embedded interpreter on the archive at the end of this executable. */

#define PY_SSIZE_T_CLEAN
#include <Python.h>

#include <dlfcn.h>

/* The kernel's link names this file even after it was replaced or unlinked, so that
   modules which are imported late still come from the version that was started. */
#define ARCHIVE L"/proc/self/exe"
#define START_COMMAND L"import memory_importer; memory_importer.run_program()"

/* Loads a shared library that extension modules name as needed. The dynamic linker
   then finds it by its soname instead of searching the host's directories. */
static PyObject *load_library(PyObject *module, PyObject *path)
{
    const char *name = PyUnicode_AsUTF8(path);
    if (name == NULL)
        return NULL;
    if (dlopen(name, RTLD_NOW | RTLD_LOCAL) == NULL) {
        PyErr_SetString(PyExc_ImportError, dlerror());
        return NULL;
    }
    Py_RETURN_NONE;
}

static PyMethodDef launcher_methods[] = {
    {"load_library", load_library, METH_O, "Load a shared library by its path."},
    {NULL, NULL, 0, NULL},
};

static struct PyModuleDef launcher_module = {
    PyModuleDef_HEAD_INIT,
    .m_name = "bronzesail_launcher",
    .m_size = -1,
    .m_methods = launcher_methods,
};

static PyObject *create_launcher_module(void)
{
    return PyModule_Create(&launcher_module);
}

static PyStatus configure(PyConfig *config, int argc, char **argv)
{
    struct {
        wchar_t **field;
        const wchar_t *value;
    } strings[] = {
        {&config->home, ARCHIVE}, /* Keeps the search for a prefix off the host. */
        {&config->executable, ARCHIVE},
        {&config->run_command, START_COMMAND},
    };
    PyStatus status = PyConfig_SetBytesArgv(config, argc, argv);
    for (size_t i = 0; i < sizeof strings / sizeof *strings; i++) {
        if (PyStatus_Exception(status))
            return status;
        status = PyConfig_SetString(config, strings[i].field, strings[i].value);
    }
    if (PyStatus_Exception(status))
        return status;
    config->parse_argv = 0;
    config->site_import = 0;
    config->write_bytecode = 0;
    config->install_signal_handlers = 1; /* The isolated configuration has none. */
    config->module_search_paths_set = 1;
    return PyWideStringList_Append(&config->module_search_paths, ARCHIVE);
}

int main(int argc, char **argv)
{
    PyPreConfig preconfig;
    PyPreConfig_InitIsolatedConfig(&preconfig);
    preconfig.utf8_mode = 1; /* A host without locales has ASCII as its encoding. */
    PyStatus status = Py_PreInitialize(&preconfig);
    if (PyStatus_Exception(status))
        Py_ExitStatusException(status);

    if (PyImport_AppendInittab("bronzesail_launcher", create_launcher_module) < 0)
        return 1;

    PyConfig config;
    PyConfig_InitIsolatedConfig(&config);
    status = configure(&config, argc, argv);
    if (!PyStatus_Exception(status))
        status = Py_InitializeFromConfig(&config);
    PyConfig_Clear(&config);
    if (PyStatus_Exception(status))
        Py_ExitStatusException(status);
    return Py_RunMain();
}
